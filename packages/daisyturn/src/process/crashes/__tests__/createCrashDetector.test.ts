import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ProbeResult } from "../../../connection/target/probeAddress.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import { requestDepth } from "../crashRecord.js";
import { createCrashDetector, type DetectedCrash, RunEnd } from "../createCrashDetector.js";
import type { GuardedCall } from "../guardedCall.js";

const probeMilliseconds = 3;
/** Longer than all probes of one suspicion. */
const settleMilliseconds = 300;

function createTarget(changes: Partial<ListedTarget> = {}): ListedTarget {
    return {
        targetId: "t1",
        name: "t1",
        service: "plain",
        address: "10.0.0.1:80",
        availabilityZone: "zone-a",
        slots: 8,
        isLeaving: false,
        softwareVersion: "v1",
        ...changes,
    };
}

function createCall(name: string, parts: readonly string[] = []): GuardedCall {
    return { fingerprint: () => name, partFingerprints: () => parts, brokenRuns: 0 };
}

function namesOf({ suspects }: DetectedCrash): string[] {
    return suspects.map(({ fingerprint }) => fingerprint);
}

/** A detector whose probes find what `scene.port` says, and the crashes that it reports. */
function createScene() {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const crashes: DetectedCrash[] = [];
    const scene = { clock, eventLog, crashes, port: ProbeResult.Refused, listed: createTarget(), probes: 0 };
    const detector = createCrashDetector({
        probe: async () => {
            scene.probes += 1;
            await clock.sleepUntil(clock.monotonicNow() + probeMilliseconds);
            return scene.port;
        },
        isExpected: targetId => targetId === scene.listed.targetId && !scene.listed.isLeaving,
        clock,
        eventLog,
    });
    detector.onCrash(crash => crashes.push(crash));
    return Object.assign(scene, {
        detector,
        begin: (name: string, parts?: readonly string[]) => detector.beginRun(scene.listed, createCall(name, parts)),
    });
}

// Guards against a crash of which only the calls whose connections broke first are known.
test("reports all calls that ran at a target whose port refuses connections, once", async () => {
    const { clock, crashes, begin, eventLog } = createScene();
    const [endFirst, endAbandoned, endAnswered] = ["first", "abandoned", "answered"].map(name => begin(name));
    begin("running");
    endAnswered?.(RunEnd.Answered);
    endAbandoned?.(RunEnd.Abandoned);
    await clock.advance(100);
    endFirst?.(RunEnd.Broken);
    await clock.advance(settleMilliseconds);
    assert.deepEqual(crashes.map(crash => namesOf(crash).sort()), [["abandoned", "first", "running"]]);
    assert.deepEqual([crashes[0]?.endedAt, crashes[0]?.uncertainty], [100, 0]);
    assert.equal(eventLog.of(EventKind.TargetEnded).length, 1);
});

// Guards against logs that don't tell what the requests at a target that ended have in common.
test("logs which parts the prompts at a target that ended share, the most common ones first", async () => {
    const { clock, begin, eventLog } = createScene();
    begin("a", ["part:own", "part:first"]);
    begin("b", ["part:first"])(RunEnd.Broken);
    await clock.advance(settleMilliseconds);
    const [ended] = eventLog.of(EventKind.TargetEnded);
    assert.equal(ended?.fields["parts"], "part:first=2,part:own=1");
});

// Guards against evidence from cut links and single broken answers.
test("does not take a broken connection for a crash while the port accepts connections", async () => {
    const scene = createScene();
    scene.port = ProbeResult.Accepted;
    ["a", "b", "c"].map(name => scene.begin(name)).forEach(end => end(RunEnd.Broken));
    await scene.clock.advance(settleMilliseconds);
    assert.deepEqual(scene.crashes, []);
    assert.equal(scene.probes, 2);
});

test("does not take the planned end of a leaving target for a crash", async () => {
    const scene = createScene();
    const end = scene.begin("a");
    scene.begin("b");
    scene.listed = createTarget({ isLeaving: true });
    end(RunEnd.Broken);
    scene.detector.recordRemoval({ target: scene.listed, isRestarted: false });
    await scene.clock.advance(settleMilliseconds);
    assert.deepEqual(scene.crashes, []);
});

// Guards against a host that goes dark, whose connections never break.
test("reports the calls at a target whose entry expires while nothing answers at its address", async () => {
    const scene = createScene();
    scene.port = ProbeResult.Unknown;
    scene.begin("answered")(RunEnd.Answered);
    await scene.clock.advance(2_000);
    scene.begin("waiting");
    scene.begin("given up")(RunEnd.Abandoned);
    scene.detector.recordRemoval({ target: scene.listed, isRestarted: false });
    await scene.clock.advance(settleMilliseconds);
    assert.deepEqual(scene.crashes.map(namesOf), [["waiting", "given up"]]);
    const { endedAt = 0, uncertainty = 0 } = scene.crashes[0] ?? {};
    assert.equal(endedAt - uncertainty, 0, "it may have ended right after its last answer");
});

test("does not take a target that is removed and still answers for one that crashed", async () => {
    const scene = createScene();
    scene.port = ProbeResult.Accepted;
    scene.begin("a");
    scene.detector.recordRemoval({ target: scene.listed, isRestarted: false });
    await scene.clock.advance(settleMilliseconds);
    assert.deepEqual(scene.crashes, []);
});

test("reports the calls at a target that is listed as started anew", async () => {
    const scene = createScene();
    scene.begin("a");
    scene.detector.recordRemoval({ target: scene.listed, isRestarted: true });
    await scene.clock.advance(settleMilliseconds);
    assert.deepEqual(scene.crashes.map(namesOf), [["a"]]);
});

// Guards against a target that keeps its name over restarts and counts as ended only once.
test("reports each crash of a target that starts again under the same name", async () => {
    const scene = createScene();
    for (const name of ["a", "b"]) {
        scene.begin(name)(RunEnd.Broken);
        await scene.clock.advance(settleMilliseconds);
    }
    assert.deepEqual(scene.crashes.map(namesOf), [["a"], ["b"]]);
});

// Guards against one attempt whose ends, close to each other, count as one.
test("counts how many targets have failed the same attempt", async () => {
    const scene = createScene();
    const call = createCall("a");
    for (let run = 0; run < 2; run++) {
        scene.detector.beginRun(scene.listed, call)(RunEnd.Broken);
        await scene.clock.advance(settleMilliseconds);
    }
    assert.deepEqual(scene.crashes.flatMap(({ suspects }) => suspects), [
        { fingerprint: "a", chain: 1, depth: requestDepth },
        { fingerprint: "a", chain: 2, depth: requestDepth },
    ]);
});
