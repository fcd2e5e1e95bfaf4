import { type Failure, FailureReason, FakeClock, mayHaveRun, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok, type Result } from "true-myth/result";
import { ChangeFeed, type FeedPage, type FeedRow } from "../../../../ports/changeFeed.js";
import type { StorePosition } from "../../../../ports/storePosition.js";
import { watchTable } from "../../targets/watchTable.js";
import { createRelayedTables } from "../createRelayedTables.js";
import { createTableReader } from "../createTableReader.js";

const maxStateAgeMilliseconds = 1_500;
const stateMilliseconds = 250;
const readerWaitMilliseconds = 1_000;
const boundMilliseconds = 2_000;

/** A store with one table, whose changes are counted by one version. */
function createStore(clock: FakeClock) {
    let history: FeedRow[] = [];
    const calls: string[] = [];
    /** Names of the processes whose calls the store refuses. */
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
        /** Increments the version, as a change of another table does. */
        advanceVersion: () => {
            version += 1;
        },
    };
}

/** Creates a coordinator that reads the table and a member to which it relays the table. */
function createPair(isMemberReader = false) {
    const clock = new FakeClock();
    const store = createStore(clock);
    const stop = new AbortController();
    const reader = createTableReader(clock);
    const tables = createRelayedTables({
        clock,
        maxStateAgeMilliseconds: () => maxStateAgeMilliseconds,
        isReader: () => isMemberReader,
    });
    const link = { relaysStates: true, relaysRows: true };
    const received: string[] = [];
    const eventLog = new MemoryEventLog();
    const watch = (name: string, observed: string[], more: object) =>
        void watchTable({
            name: "t",
            feed: store.feedFor(name),
            observer: {
                replace: rows => rows.forEach(row => observed.push(`${row.key}=${row.text}`)),
                change: (rows, failedAt) =>
                    rows.forEach(row =>
                        observed.push(`${row.key}=${row.text}${(failedAt ?? -Infinity) === -Infinity ? "" : " failed"}`)
                    ),
            },
            timing: { waitMilliseconds: () => readerWaitMilliseconds, mergeMilliseconds: 100 },
            clock,
            eventLog,
            ...more,
        }, stop.signal);
    reader.onRows(message => link.relaysRows && tables.applyRows({ ...message, from: "coordinator" }));
    const publishStates = async () => {
        while (!stop.signal.aborted) {
            if (link.relaysStates) {
                const state = { from: "coordinator", isAnswering: true, closed: [], candidates: [], speeds: [] };
                tables.applyState({ ...state, tables: reader.listStates() });
            }
            await clock.sleepUntil(clock.monotonicNow() + stateMilliseconds, stop.signal);
        }
    };
    watch("coordinator", [], { reader });
    void publishStates();
    watch("member", received, { relay: tables.find("t") });
    return { clock, store, link, received, reader, stop: () => stop.abort() };
}

describe("a table that a coordinator relays", () => {
    it("is up to date at the member without calls to the store", async () => {
        const { clock, store, received, stop } = createPair();
        await clock.advance(3_000);
        const before = store.callsOf("member");
        for (let change = 0; change < 10; change++) {
            store.put("a", `${change}`);
            await clock.advance(700);
            assert.equal(received.at(-1), `a=${change}`);
        }
        await clock.advance(20_000);
        assert.equal(store.callsOf("member"), before);
        stop();
    });

    it("is read from the last known version on, even if only other tables have changed", async () => {
        const { clock, store, link, stop } = createPair();
        await clock.advance(3_000);
        for (let change = 0; change < 20; change++) {
            store.advanceVersion();
            await clock.advance(1_000);
        }
        link.relaysRows = false;
        store.put("a", "1");
        await clock.advance(1_000);
        assert.ok(
            store.callsOf("member after 24") + store.callsOf("member after 25") > 0,
            "read from the last known version, not from version 5",
        );
        stop();
    });

    it("is read from the store if a message with rows is lost", async () => {
        const { clock, store, link, received, stop } = createPair();
        await clock.advance(3_000);
        link.relaysRows = false;
        store.put("a", "1");
        await clock.advance(stateMilliseconds + 150);
        assert.deepEqual(received, ["a=1"]);
        link.relaysRows = true;
        store.put("a", "2");
        await clock.advance(readerWaitMilliseconds + 300);
        assert.deepEqual(received, ["a=1", "a=2"]);
        stop();
    });

    for (const moment of [0, 130, 400, 870]) {
        it(`is applied in time if the coordinator falls silent ${moment} ms before the change`, async () => {
            const { clock, store, link, received, stop } = createPair();
            await clock.advance(3_000 + moment);
            Object.assign(link, { relaysStates: false, relaysRows: false });
            await clock.advance(moment);
            store.put("a", "1");
            await clock.advance(boundMilliseconds - 200);
            assert.deepEqual(received, ["a=1"]);
            stop();
        });
    }

    it("is read from the store while the coordinator gets no answers from the store", async () => {
        const { clock, store, reader, received, link, stop } = createPair();
        await clock.advance(3_000);
        // The coordinator still sends states, but they are too old to be used.
        link.relaysRows = false;
        reader.listStates =
            () => [{ table: "t", era: 1, changedVersion: 5, version: 5, age: maxStateAgeMilliseconds + 1 }];
        await clock.advance(maxStateAgeMilliseconds + stateMilliseconds);
        store.put("a", "1");
        await clock.advance(200);
        assert.deepEqual(received, ["a=1"]);
        stop();
    });

    it("reports with a removal that the store has just failed, because entries expire during an outage", async () => {
        const { clock, store, reader, received, stop } = createPair();
        store.put("a", "1");
        await clock.advance(3_000);
        reader.recordFailure("t");
        store.put("a", undefined);
        await clock.advance(300);
        assert.equal(received.at(-1), "a=undefined failed");
        stop();
    });

    // Guards against a coordinator that sends work to targets that have been leaving for a long time, because the store
    // refuses its calls.
    it("is relayed to a process that reads the store itself while the store refuses its calls", async () => {
        const { clock, store, received, stop } = createPair(true);
        await clock.advance(3_000);
        store.refused.add("member");
        await clock.advance(5_000);
        for (let change = 0; change < 5; change++) {
            store.put("a", `${change}`);
            await clock.advance(700);
        }
        assert.deepEqual(received, ["a=0", "a=1", "a=2", "a=3", "a=4"]);
        const before = store.callsOf("member");
        await clock.advance(6_000);
        const calls = store.callsOf("member") - before;
        assert.ok(calls > 3 && calls < 10, `the member still calls the store from time to time: ${calls} times`);
        store.refused.clear();
        await clock.advance(3_000);
        store.put("b", "1");
        await clock.advance(200);
        assert.equal(received.at(-1), "b=1");
        stop();
    });

    // Guards against rows that are never seen because the store reused their versions.
    it("is re-read after the store is restored from an older snapshot and reuses versions", async () => {
        for (const relaysRows of [true, false]) {
            const { clock, store, link, received, stop } = createPair();
            link.relaysRows = relaysRows;
            store.put("a", "1");
            await clock.advance(3_000);
            store.put("lost", "1");
            await clock.advance(500);
            store.rollBack(6);
            store.put("b", "1");
            store.put("c", "1");
            await clock.advance(2_000);
            store.put("d", "1");
            await clock.advance(boundMilliseconds);
            assert.ok(["b=1", "c=1", "d=1"].every(row => received.includes(row)), `${received.join(" ")}`);
            stop();
        }
    });

    // Guards against a row of the new era that is skipped because its version is below one known from the era before.
    it("is re-read after a rollback whose new changes stay below the version known before", async () => {
        const { clock, store, link, received, stop } = createPair();
        link.relaysRows = false;
        await clock.advance(3_000);
        for (let version = 6; version <= 20; version++) {
            store.advanceVersion();
        }
        await clock.advance(1_500);
        store.rollBack(6);
        store.put("b", "1");
        await clock.advance(boundMilliseconds);
        for (let version = 8; version <= 25; version++) {
            store.advanceVersion();
        }
        await clock.advance(boundMilliseconds);
        assert.deepEqual(received, ["b=1"]);
        stop();
    });
});
