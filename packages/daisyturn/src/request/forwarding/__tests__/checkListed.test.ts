import { FailureReason, FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ListedSuspect } from "../../../process/crashes/index.js";
import { checkListed } from "../checkListed.js";
import type { RequestTrace } from "../requestTrace.js";

function check(listed: ListedSuspect | undefined, clock = new FakeClock()) {
    const fields: Parameters<RequestTrace["addSummaryFields"]>[0][] = [];
    const trace: RequestTrace = {
        record: () => assert.fail("a line of its own"),
        recordEnd: () => assert.fail("the request goes on"),
        addSummaryFields: added => void fields.push(added),
        end: () => assert.fail("the request goes on"),
    };
    const guarded = { fingerprint: () => "request", partFingerprints: () => [], brokenRuns: 0 };
    const result = checkListed({ crashGuard: { findListed: () => listed } as never, clock }, { guarded, trace });
    return { fields, result };
}

// Guards against logs that name only a refused request, so that nobody can tell which part keeps it out.
test("names the listed part in the summary of a refused request", () => {
    const clock = new FakeClock();
    const until = clock.monotonicNow() + 60_000;
    const { fields, result } = check({ fingerprint: "part:bad", targetIds: ["a", "b", "c"], until }, clock);
    assert.deepEqual(fields, [{ listed: "part:bad" }]);
    assert.ok(result.isErr);
    assert.equal(result.error.reason, FailureReason.CrashesTargets);
    assert.equal(result.error.retryAt, clock.wallNow() + 60_000);
});

test("adds nothing to a request that is not kept out", () => {
    const { fields, result } = check(undefined);
    assert.ok(result.isOk);
    assert.deepEqual(fields, []);
});
