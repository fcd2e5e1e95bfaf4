import { type Failure, FailureReason, FakeClock, mayHaveRun, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok, type Result } from "true-myth/result";
import { ChangeFeed, type FeedPage, type FeedRow } from "../../../../ports/changeFeed.js";
import type { StorePosition } from "../../../../ports/storePosition.js";
import { watchTable } from "../../targets/watchTable.js";
import { createRelayedTables } from "../createRelayedTables.js";
import { createTableReader } from "../createTableReader.js";

const freshMilliseconds = 1_500;
const stateMilliseconds = 250;
const readerWaitMilliseconds = 1_000;
const bound = 2_000;

/** A store with one table, whose changes are counted by one version. */
function createStore(clock: FakeClock) {
    let history: FeedRow[] = [];
    const calls: string[] = [];
    /** Names of the processes that the store turns away. */
    const refused = new Set<string>();
    const refusal = mayHaveRun(FailureReason.StoreUnavailable, "the store answered with status 503");
    let version = 5;
    let era = 1;

    const changesAfter = (after: number) => history.filter(row => row.version > after);
    const feedFor = (name: string) => {
        class TableFeed extends ChangeFeed {
            override async readAll(): Promise<Result<FeedPage, Failure>> {
                calls.push(`${name} all`);
                const latest = new Map(history.map(row => [row.key, row]));
                return ok({
                    rows: [...latest.values()].filter(row => row.text),
                    position: { era, version },
                    isHistoryLost: false,
                });
            }

            override async waitForChanges(
                { version: after }: StorePosition,
                wait: number,
            ): Promise<Result<FeedPage, Failure>> {
                calls.push(`${name} after ${after}`);
                if (refused.has(name)) {
                    return err(refusal);
                }
                const until = clock.monotonicNow() + wait;
                while (changesAfter(after).length === 0 && clock.monotonicNow() < until) {
                    await clock.sleepUntil(Math.min(until, clock.monotonicNow() + 5));
                }
                return ok({ rows: changesAfter(after), position: { era, version }, isHistoryLost: false });
            }
        }
        return new TableFeed();
    };
    return {
        feedFor,
        refused,
        callsOf: (name: string) => calls.filter(call => call.startsWith(name)).length,
        put: (key: string, text: string | undefined) => {
            version += 1;
            history.push({ key, version, text });
        },
        /** Discards everything written after a version and starts a new era. */
        rollBack: (toVersion: number) => {
            era += 1;
            version = toVersion;
            history = history.filter(row => row.version <= toVersion);
        },
        /** Another table of the store changes. */
        passVersion: () => {
            version += 1;
        },
    };
}

/** A coordinator that reads the table, and a process that goes by its word. */
function createPair(isMemberReader = false) {
    const clock = new FakeClock();
    const store = createStore(clock);
    const stop = new AbortController();
    const reader = createTableReader(clock);
    const tables = createRelayedTables({
        clock,
        freshMilliseconds: () => freshMilliseconds,
        isReader: () => isMemberReader,
    });
    const link = { passesStates: true, passesRows: true };
    const taken: string[] = [];
    const eventLog = new MemoryEventLog();
    const follow = (name: string, taking: string[], more: object) =>
        void watchTable({
            name: "t",
            feed: store.feedFor(name),
            observer: {
                replace: rows => rows.forEach(row => taking.push(`${row.key}=${row.text}`)),
                change: (rows, failedAt) =>
                    rows.forEach(row =>
                        taking.push(`${row.key}=${row.text}${(failedAt ?? -Infinity) === -Infinity ? "" : " failed"}`)
                    ),
            },
            timing: { waitMilliseconds: () => readerWaitMilliseconds, mergeMilliseconds: 100 },
            clock,
            eventLog,
            ...more,
        }, stop.signal);
    reader.onRows(message => link.passesRows && tables.noteRows({ ...message, from: "coordinator" }));
    const tellStates = async () => {
        while (!stop.signal.aborted) {
            if (link.passesStates) {
                const state = { from: "coordinator", isAnswering: true, closed: [], candidates: [] };
                tables.noteState({ ...state, tables: reader.listStates() });
            }
            await clock.sleepUntil(clock.monotonicNow() + stateMilliseconds, stop.signal);
        }
    };
    follow("coordinator", [], { reader });
    void tellStates();
    follow("member", taken, { relay: tables.find("t") });
    return { clock, store, link, taken, reader, stop: () => stop.abort() };
}

describe("a table that a coordinator passes on", () => {
    it("is known at once, with no call to the store", async () => {
        const { clock, store, taken, stop } = createPair();
        await clock.advance(3_000);
        const before = store.callsOf("member");
        for (let change = 0; change < 10; change++) {
            store.put("a", `${change}`);
            await clock.advance(700);
            assert.equal(taken.at(-1), `a=${change}`);
        }
        await clock.advance(20_000);
        assert.equal(store.callsOf("member"), before);
        stop();
    });

    it("goes on from the version up to which it is known, also while only other tables change", async () => {
        const { clock, store, link, stop } = createPair();
        await clock.advance(3_000);
        for (let change = 0; change < 20; change++) {
            store.passVersion();
            await clock.advance(1_000);
        }
        link.passesRows = false;
        store.put("a", "1");
        await clock.advance(1_000);
        assert.ok(store.callsOf("member after 24") + store.callsOf("member after 25") > 0, "not from version 5 on");
        stop();
    });

    it("is asked for in the store where rows were lost on the way", async () => {
        const { clock, store, link, taken, stop } = createPair();
        await clock.advance(3_000);
        link.passesRows = false;
        store.put("a", "1");
        await clock.advance(stateMilliseconds + 150);
        assert.deepEqual(taken, ["a=1"]);
        link.passesRows = true;
        store.put("a", "2");
        await clock.advance(readerWaitMilliseconds + 300);
        assert.deepEqual(taken, ["a=1", "a=2"]);
        stop();
    });

    for (const moment of [0, 130, 400, 870]) {
        it(`is heeded within its bound when the coordinator falls silent ${moment} ms before the change`, async () => {
            const { clock, store, link, taken, stop } = createPair();
            await clock.advance(3_000 + moment);
            Object.assign(link, { passesStates: false, passesRows: false });
            await clock.advance(moment);
            store.put("a", "1");
            await clock.advance(bound - 200);
            assert.deepEqual(taken, ["a=1"]);
            stop();
        });
    }

    it("is read from the store while the coordinator says that the store does not answer it", async () => {
        const { clock, store, reader, taken, link, stop } = createPair();
        await clock.advance(3_000);
        // The coordinator still speaks, but what it knows grows old.
        link.passesRows = false;
        reader.listStates = () => [{ table: "t", era: 1, changedVersion: 5, version: 5, age: freshMilliseconds + 1 }];
        await clock.advance(freshMilliseconds + stateMilliseconds);
        store.put("a", "1");
        await clock.advance(200);
        assert.deepEqual(taken, ["a=1"]);
        stop();
    });

    it("tells with a removal that the store had just failed, since entries lapse while it is away", async () => {
        const { clock, store, reader, taken, stop } = createPair();
        store.put("a", "1");
        await clock.advance(3_000);
        reader.noteFailure("t");
        store.put("a", undefined);
        await clock.advance(300);
        assert.equal(taken.at(-1), "a=undefined failed");
        stop();
    });

    // Guards against work sent to targets that have been leaving for long, by a coordinator that the store turns away.
    it("reaches a process that reads the store itself while the store turns it away", async () => {
        const { clock, store, taken, stop } = createPair(true);
        await clock.advance(3_000);
        store.refused.add("member");
        await clock.advance(5_000);
        for (let change = 0; change < 5; change++) {
            store.put("a", `${change}`);
            await clock.advance(700);
        }
        assert.deepEqual(taken, ["a=0", "a=1", "a=2", "a=3", "a=4"]);
        const before = store.callsOf("member");
        await clock.advance(6_000);
        const calls = store.callsOf("member") - before;
        assert.ok(calls > 3 && calls < 10, `the store is still asked from time to time: ${calls} times`);
        store.refused.clear();
        await clock.advance(3_000);
        store.put("b", "1");
        await clock.advance(200);
        assert.equal(taken.at(-1), "b=1");
        stop();
    });

    // Guards against rows that are never seen because the store reused their versions.
    it("is re-read after the store is restored from an older snapshot and reuses versions", async () => {
        for (const passesRows of [true, false]) {
            const { clock, store, link, taken, stop } = createPair();
            link.passesRows = passesRows;
            store.put("a", "1");
            await clock.advance(3_000);
            store.put("lost", "1");
            await clock.advance(500);
            store.rollBack(6);
            store.put("b", "1");
            store.put("c", "1");
            await clock.advance(2_000);
            store.put("d", "1");
            await clock.advance(bound);
            assert.ok(["b=1", "c=1", "d=1"].every(row => taken.includes(row)), `${taken.join(" ")}`);
            stop();
        }
    });

    // Guards against a row of the new era that is skipped because its version is below one known from the era before.
    it("is re-read after a rollback whose new changes stay below the version known before", async () => {
        const { clock, store, link, taken, stop } = createPair();
        link.passesRows = false;
        await clock.advance(3_000);
        for (let version = 6; version <= 20; version++) {
            store.passVersion();
        }
        await clock.advance(1_500);
        store.rollBack(6);
        store.put("b", "1");
        await clock.advance(bound);
        for (let version = 8; version <= 25; version++) {
            store.passVersion();
        }
        await clock.advance(bound);
        assert.deepEqual(taken, ["b=1"]);
        stop();
    });
});
