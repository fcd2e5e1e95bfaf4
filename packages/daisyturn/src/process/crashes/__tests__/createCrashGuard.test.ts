import { FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ProbeResult } from "../../../connection/target/probeAddress.js";
import { RunEnd } from "../createCrashDetector.js";
import { createCrashEvidence } from "../createCrashEvidence.js";
import { createCrashGuard } from "../createCrashGuard.js";
import { createGuardedCall } from "../guardedCall.js";

const probeMilliseconds = 400;
/** Ends this far apart are not taken for one. */
const endIntervalMilliseconds = 110;

function createScene() {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const evidence = createCrashEvidence(clock, eventLog);
    const guard = createCrashGuard({
        evidence,
        probe: async () => {
            await clock.sleepUntil(clock.monotonicNow() + probeMilliseconds);
            return ProbeResult.Refused;
        },
        isExpected: () => true,
        clock,
        eventLog,
    });
    const createCall = (name: string) => createGuardedCall(() => [name], "");
    /** Ends a target under calls; the evidence comes once the probe has been answered. */
    const crash = (targetId: string, names: readonly string[]) => {
        const runs = names.map(name => guard.beginRun({ targetId, address: `${targetId}:80` }, createCall(name)));
        runs.forEach(endRun => endRun(RunEnd.Broken));
    };
    const answer = (name: string) => {
        guard.beginRun({ targetId: "other", address: "other:80" }, createCall(name))(RunEnd.Answered);
    };
    return { clock, guard, createCall, crash, answer };
}

// Guards against popular requests that are kept out although they were answered before the evidence had come.
test("an answer between the ends of targets and the evidence of them refutes that evidence", async () => {
    const { clock, guard, createCall, crash, answer } = createScene();
    for (const targetId of ["t1", "t2", "t3"]) {
        crash(targetId, ["bad", "popular"]);
        await clock.advance(endIntervalMilliseconds);
    }
    answer("popular");
    await clock.advance(2 * probeMilliseconds);
    assert.notEqual(guard.findListed(createCall("bad")), undefined);
    assert.equal(guard.findListed(createCall("popular")), undefined);
});

test("an answer before the end of a target does not refute evidence of that end", async () => {
    const { clock, guard, createCall, crash, answer } = createScene();
    answer("late");
    for (const targetId of ["t1", "t2", "t3"]) {
        await clock.advance(probeMilliseconds);
        crash(targetId, ["late"]);
        await clock.advance(2 * probeMilliseconds);
    }
    assert.notEqual(guard.findListed(createCall("late")), undefined);
});

// Guards against a request that is prefilled at one target after the other while nothing shows whether it ends them.
test("a request that shares the ends of targets with others runs whole until the next end or answer", async () => {
    const { clock, guard, createCall, crash, answer } = createScene();
    const mustRunWhole = (name: string) => guard.mustRunWhole(createCall(name));
    for (const [targetId, victims] of [["t1", ["victim"]], ["t2", ["victim"]], ["t3", []]] as const) {
        assert.equal(mustRunWhole("bad"), false);
        crash(targetId, ["bad", ...victims]);
        await clock.advance(endIntervalMilliseconds);
    }
    await clock.advance(2 * probeMilliseconds);
    assert.equal(guard.findListed(createCall("bad")), undefined);
    assert.deepEqual(["bad", "victim", "other"].map(mustRunWhole), [true, false, false]);
    answer("bad");
    assert.equal(mustRunWhole("bad"), false);
    for (const targetId of ["t4", "t5", "t6", "t7"]) {
        crash(targetId, ["worse", "victim"]);
        await clock.advance(endIntervalMilliseconds);
    }
    answer("victim");
    await clock.advance(2 * probeMilliseconds);
    assert.notEqual(guard.findListed(createCall("worse")), undefined);
    assert.equal(mustRunWhole("worse"), false);
});
