import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ProbeResult } from "../../../connection/target/probeAddress.js";
import { evidenceLifetimeMilliseconds } from "../crashRecord.js";
import { RunEnd } from "../createCrashDetector.js";
import { createCrashEvidence } from "../createCrashEvidence.js";
import { createCrashGuard } from "../createCrashGuard.js";
import { createGuardedCall } from "../guardedCall.js";
import { decodeRecord, encodeRecord } from "../recordEntry.js";

const endIntervalMilliseconds = 1_000;
const minuteMilliseconds = 60_000;

/** The guards of a fleet's processes, which hear of each other's records at once and over the wire's form. */
function createGuards(count: number) {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const evidences = Array.from({ length: count }, () => createCrashEvidence(clock, eventLog));
    const guards = evidences.map(evidence =>
        createCrashGuard({
            evidence,
            probe: () => Promise.resolve(ProbeResult.Refused),
            isExpected: () => true,
            clock,
            eventLog,
        })
    );
    evidences.forEach((evidence, index) =>
        evidence.onChanged((records, source) => {
            if (source === undefined) {
                const received = records.map(encodeRecord).map(decodeRecord);
                evidences.filter((other, number) => number !== index)
                    .forEach(other => other.recordRemote(received, `process-${index}`));
            }
        })
    );
    let calls = 0;
    let ends = 0;
    const createCall = (...parts: readonly string[]) => createGuardedCall(() => [++calls], "", () => parts);
    const run = (process: number, targetId: string, end: RunEnd, ...parts: readonly string[]) =>
        guards[process]?.beginRun({ targetId, address: `${targetId}:80` }, createCall(...parts))(end);
    const answer = (process: number, ...parts: readonly string[]) => run(process, "sound", RunEnd.Answered, ...parts);
    /** Ends a target under one prompt with these parts. */
    const crash = async (process: number, ...parts: readonly string[]) => {
        run(process, `t${++ends}`, RunEnd.Broken, ...parts);
        await clock.advance(endIntervalMilliseconds);
    };
    const findListed = (process: number, ...parts: readonly string[]) =>
        guards[process]?.findListed(createCall(...parts));
    const isListed = (process: number, ...parts: readonly string[]) => findListed(process, ...parts) !== undefined;
    return { clock, eventLog, evidences, answer, crash, findListed, isListed };
}

// Guards against parts that each process has to find by itself, and against blame for what sound prompts share with them.
test("a part is kept out at all processes after three ends at different ones, and the first part is not", async () => {
    const { answer, crash, isListed, findListed, evidences } = createGuards(4);
    answer(3, "first");
    for (const process of [0, 1, 2]) {
        await crash(process, "first", "bad");
    }
    assert.deepEqual([0, 1, 2, 3].map(process => isListed(process, "first", "bad")), [true, true, true, true]);
    assert.deepEqual([0, 1, 2, 3].map(process => isListed(process, "first", "other")), [false, false, false, false]);
    assert.equal(findListed(0, "bad")?.fingerprint, "part:bad");
    assert.deepEqual(evidences.map(evidence => evidence.countListed()), [1, 1, 1, 1]);
});

// Guards against a first part that loses its route because sound prompts with it are rare and seen by few processes.
test("a part that was answered at any process before needs five ends, and one answer refutes them", async () => {
    const { answer, crash, isListed } = createGuards(2);
    answer(1, "first");
    for (let count = 0; count < 4; count++) {
        await crash(0, "first", `own${count}`);
    }
    assert.equal(isListed(0, "first"), false);
    answer(1, "first");
    for (let count = 4; count < 8; count++) {
        await crash(0, "first", `own${count}`);
    }
    assert.equal(isListed(0, "first"), false);
    await crash(0, "first", "own9");
    assert.equal(isListed(1, "first"), true);
});

test("a part that is kept out is not any more once a prompt with it was answered", async () => {
    const { answer, crash, isListed, eventLog } = createGuards(2);
    for (let count = 0; count < 3; count++) {
        await crash(0, "first", `own${count}`);
    }
    assert.equal(isListed(1, "first"), true);
    answer(1, "first");
    assert.deepEqual([isListed(0, "first"), isListed(1, "first")], [false, false]);
    assert.equal(eventLog.of(EventKind.CallUnlisted).length, 2);
});

// Guards against a part that ends three more targets every ten minutes, and against a time that is not true.
test("a part stays out at all processes for as long as prompts with it come, and ten minutes more", async () => {
    const { clock, crash, isListed, findListed } = createGuards(2);
    for (let count = 0; count < 3; count++) {
        await crash(0, "first", "bad");
    }
    for (let minute = 0; minute < 30; minute += 5) {
        await clock.advance(5 * minuteMilliseconds);
        assert.equal(findListed(0, "bad")?.until, clock.monotonicNow() + evidenceLifetimeMilliseconds);
    }
    await clock.advance(evidenceLifetimeMilliseconds - minuteMilliseconds);
    assert.equal(isListed(1, "bad"), true);
    await clock.advance(evidenceLifetimeMilliseconds + minuteMilliseconds);
    assert.deepEqual([isListed(0, "bad"), isListed(1, "bad")], [false, false]);
});

// Guards against made-up parts that push out the evidence against another one.
test("a flood of prompts with parts of their own does not push out evidence", async () => {
    const { crash, isListed, evidences } = createGuards(1);
    await crash(0, "first", "bad");
    await crash(0, "first", "bad");
    for (let count = 0; count < 300; count++) {
        await crash(0, ...Array.from({ length: 12 }, (value, index) => `made-up-${count}-${index}`));
    }
    assert.equal(evidences[0]?.list().length, 2_048);
    await crash(0, "first", "bad");
    assert.equal(isListed(0, "bad"), true);
});
