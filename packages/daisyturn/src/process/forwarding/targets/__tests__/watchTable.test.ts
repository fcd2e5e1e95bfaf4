import { type Failure, FailureReason, FakeClock, mayHaveRun, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, type Result } from "true-myth/result";
import { ChangeFeed, type FeedPage, type FeedRow } from "../../../../ports/changeFeed.js";
import type { StorePosition } from "../../../../ports/storePosition.js";
import { watchTable } from "../watchTable.js";

const failure = mayHaveRun(FailureReason.StoreUnavailable, "away");

/** A feed that returns the given answers in order; after the last one, each call waits for its full wait time. */
function createScriptedFeed(clock: FakeClock, answers: Result<FeedPage, Failure>[]) {
    const calls: string[] = [];
    const waits: number[] = [];
    let lastEra = 0;
    const next = async (waitMilliseconds: number) => {
        const answer = answers.shift();
        lastEra = answer?.isOk ? Math.max(lastEra, answer.value.position.era) : lastEra;
        if (!answer) {
            await clock.sleepUntil(clock.monotonicNow() + waitMilliseconds);
        }
        return answer ?? ok({ rows: [], position: { era: lastEra, version: 99 }, isHistoryLost: false });
    };
    class ScriptedFeed extends ChangeFeed {
        override readAll(): Promise<Result<FeedPage, Failure>> {
            calls.push("all");
            return next(0);
        }

        override waitForChanges(
            { version }: StorePosition,
            waitMilliseconds: number,
        ): Promise<Result<FeedPage, Failure>> {
            calls.push(`after ${version}`);
            waits.push(waitMilliseconds);
            return next(waitMilliseconds);
        }
    }
    return { feed: new ScriptedFeed(), calls, waits };
}

function page(version: number, ...keys: string[]): Result<FeedPage, Failure> {
    return pageInEra(0, version, ...keys);
}

function pageInEra(era: number, version: number, ...keys: string[]): Result<FeedPage, Failure> {
    const rows = keys.map(key => ({ key, version, text: "x" }));
    return ok({ rows, position: { era, version }, isHistoryLost: false });
}

async function watch(answers: Result<FeedPage, Failure>[], milliseconds: number) {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const { feed, calls, waits } = createScriptedFeed(clock, answers);
    const storeCalls: boolean[] = [];
    let rollbacks = 0;
    const taken: string[] = [];
    const describe = (rows: readonly FeedRow[]) => rows.map(row => row.key).join(",");
    const stop = new AbortController();
    const done = watchTable({
        name: "table",
        feed,
        observer: {
            replace: (rows, isAfterRollback) =>
                void taken.push(`${isAfterRollback ? "restored" : "all"} ${describe(rows)}`),
            change: rows => void taken.push(`change ${describe(rows)}`),
        },
        timing: { waitMilliseconds: () => 1_000, mergeMilliseconds: 100 },
        clock,
        eventLog,
        onCall: isAnswered => storeCalls.push(isAnswered),
        onRolledBack: () => {
            rollbacks += 1;
        },
    }, stop.signal);
    await clock.advance(milliseconds);
    stop.abort();
    await clock.advance(2_000);
    await done;
    return { taken, calls, waits, eventLog, storeCalls, rollbacks };
}

test("a table is read in full once and then by its changes", async () => {
    const { taken, calls } = await watch([page(5, "a", "b"), page(7, "b")], 500);
    assert.deepEqual(taken, ["all a,b", "change b"]);
    assert.deepEqual(calls.slice(0, 3), ["all", "after 5", "after 7"]);
});

test("a failed call is repeated from the same version, with growing delays", async () => {
    const { taken, calls } = await watch([page(5, "a"), err(failure), err(failure), page(8, "c")], 3_000);
    assert.deepEqual(taken, ["all a", "change c"]);
    assert.deepEqual(calls.slice(0, 4), ["all", "after 5", "after 5", "after 5"]);
});

test("a table is read in full after its history is lost", async () => {
    const lost = ok<FeedPage, Failure>({ rows: [], position: { era: 0, version: 0 }, isHistoryLost: true });
    const { taken } = await watch([page(5, "a"), lost, page(9, "b")], 1_000);
    assert.deepEqual(taken, ["all a", "all b"]);
});

test("changes in quick succession are merged into fewer calls", async () => {
    const answers = [page(1, "a"), ...Array.from({ length: 50 }, (value, index) => page(index + 2, "a"))];
    const { calls } = await watch(answers, 1_000);
    assert.ok(calls.length <= 12, `${calls.length} calls in a second`);
});

test("the start and the end of a store outage are recorded once each", async () => {
    const { eventLog } = await watch([page(5, "a"), err(failure), err(failure), page(6)], 3_000);
    assert.deepEqual(eventLog.events.map(event => event.kind), ["store_unavailable", "store_available"]);
});

// Guards against changes that are never seen because the store reused their versions.
test("a table is read in full after the store is restored from an older snapshot", async () => {
    const answers = [
        pageInEra(3, 50, "a", "b"),
        pageInEra(4, 52, "c"),
        pageInEra(4, 53, "a", "c"),
        pageInEra(4, 54, "d"),
    ];
    const { taken, calls, eventLog, rollbacks, storeCalls } = await watch(answers, 1_000);
    assert.deepEqual(taken, ["all a,b", "restored a,c", "change d"]);
    assert.deepEqual(calls.slice(0, 5), ["all", "after 50", "all", "after 53", "after 54"]);
    assert.equal(rollbacks, 1);
    assert.ok(storeCalls.includes(false), "a rollback counts as a failed store call");
    const [event] = eventLog.events;
    assert.equal(event?.kind, "store_rolled_back");
    assert.deepEqual([event.fields["fromEra"], event.fields["era"], event.fields["rows"]], [3, 4, 2]);
});

test("a rollback is detected from an answer with lost history, and so is a second rollback", async () => {
    const lost = ok<FeedPage, Failure>({ rows: [], position: { era: 4, version: 0 }, isHistoryLost: true });
    const answers = [pageInEra(3, 50, "a"), lost, pageInEra(5, 45, "b"), pageInEra(5, 46, "c")];
    const { taken, rollbacks } = await watch(answers, 1_000);
    assert.deepEqual(taken, ["all a", "restored b", "change c"]);
    assert.equal(rollbacks, 2);
});

// Guards against overwriting current state with rows from before the rollback.
test("a late answer of an older era is ignored", async () => {
    const answers = [pageInEra(4, 50, "a"), pageInEra(3, 60, "old"), pageInEra(4, 51, "b")];
    const { taken, calls, rollbacks } = await watch(answers, 1_000);
    assert.deepEqual(taken, ["all a", "change b"]);
    assert.deepEqual(calls.slice(0, 3), ["all", "after 50", "after 50"]);
    assert.equal(rollbacks, 0);
});

test("the first era received is not a rollback, and a table of a store without eras is watched by version", async () => {
    for (const era of [0, 7]) {
        const { taken, rollbacks } = await watch([pageInEra(era, 5, "a"), pageInEra(era, 6, "b")], 500);
        assert.deepEqual(taken, ["all a", "change b"]);
        assert.equal(rollbacks, 0);
    }
});

// Guards against late detection of a rollback while the first call after an outage waits for changes.
test("the first call after a failure does not wait for changes", async () => {
    const { waits } = await watch([page(5, "a"), err(failure), page(6, "b"), page(7, "c")], 1_000);
    assert.deepEqual(waits.slice(0, 3), [1_000, 0, 1_000]);
});

// Guards against a store that answers each call at once, which would be called without end.
test("pauses between calls whose answers come without rows and before the end of their wait", async () => {
    const early = Array.from({ length: 100 }, () => page(1));
    const { calls } = await watch(early, 5_000);
    assert.ok(calls.length < 12, `${calls.length} calls in five seconds`);
    assert.ok(calls.length > 5, `${calls.length} calls in five seconds`);
});
