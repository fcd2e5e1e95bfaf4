import { type Failure, FailureReason, FakeClock, mayHaveRun, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, type Result } from "true-myth/result";
import { ChangeFeed, type FeedPage, type FeedRow } from "../../../../ports/changeFeed.js";
import { followTable } from "../followTable.js";

const failure = mayHaveRun(FailureReason.StoreUnavailable, "away");

/** A feed that answers by a list; after its end it waits as long as it is asked to. */
function createScriptedFeed(clock: FakeClock, answers: Result<FeedPage, Failure>[]) {
    const calls: string[] = [];
    const next = async (waitMilliseconds: number) => {
        const answer = answers.shift();
        if (!answer) {
            await clock.sleepUntil(clock.monotonicNow() + waitMilliseconds);
        }
        return answer ?? ok({ rows: [], version: 99, isHistoryLost: false });
    };
    class ScriptedFeed extends ChangeFeed {
        override readAll(): Promise<Result<FeedPage, Failure>> {
            calls.push("all");
            return next(0);
        }

        override waitForChanges(after: number, waitMilliseconds: number): Promise<Result<FeedPage, Failure>> {
            calls.push(`after ${after}`);
            return next(waitMilliseconds);
        }
    }
    return { feed: new ScriptedFeed(), calls };
}

function page(version: number, ...keys: string[]): Result<FeedPage, Failure> {
    return ok({ rows: keys.map(key => ({ key, version, text: "x" })), version, isHistoryLost: false });
}

async function follow(answers: Result<FeedPage, Failure>[], milliseconds: number) {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const { feed, calls } = createScriptedFeed(clock, answers);
    const taken: string[] = [];
    const describe = (rows: readonly FeedRow[]) => rows.map(row => row.key).join(",");
    const stop = new AbortController();
    const done = followTable({
        name: "table",
        feed,
        follower: {
            replace: rows => void taken.push(`all ${describe(rows)}`),
            change: rows => void taken.push(`change ${describe(rows)}`),
        },
        timing: { waitMilliseconds: () => 1_000, mergeMilliseconds: 100 },
        clock,
        eventLog,
    }, stop.signal);
    await clock.advance(milliseconds);
    stop.abort();
    await clock.advance(2_000);
    await done;
    return { taken, calls, eventLog };
}

test("a table is read whole once and then by its changes", async () => {
    const { taken, calls } = await follow([page(5, "a", "b"), page(7, "b")], 500);
    assert.deepEqual(taken, ["all a,b", "change b"]);
    assert.deepEqual(calls.slice(0, 3), ["all", "after 5", "after 7"]);
});

test("a failed call is repeated from the same version, with growing pauses", async () => {
    const { taken, calls } = await follow([page(5, "a"), err(failure), err(failure), page(8, "c")], 3_000);
    assert.deepEqual(taken, ["all a", "change c"]);
    assert.deepEqual(calls.slice(0, 4), ["all", "after 5", "after 5", "after 5"]);
});

test("lost history leads to reading the whole table", async () => {
    const lost = ok<FeedPage, Failure>({ rows: [], version: 0, isHistoryLost: true });
    const { taken } = await follow([page(5, "a"), lost, page(9, "b")], 1_000);
    assert.deepEqual(taken, ["all a", "all b"]);
});

test("changes in quick succession are not asked for one by one", async () => {
    const answers = [page(1, "a"), ...Array.from({ length: 50 }, (value, index) => page(index + 2, "a"))];
    const { calls } = await follow(answers, 1_000);
    assert.ok(calls.length <= 12, `${calls.length} calls in a second`);
});

test("the store's loss and return are recorded once each", async () => {
    const { eventLog } = await follow([page(5, "a"), err(failure), err(failure), page(6)], 3_000);
    assert.deepEqual(eventLog.events.map(event => event.kind), ["store_unavailable", "store_available"]);
});
