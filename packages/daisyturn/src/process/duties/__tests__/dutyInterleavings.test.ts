import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DutyAnswer } from "../../../ports/duties/fleetDuties.js";
import { CallFault, CallKind } from "../../orders/__fixtures__/processHost.js";
import {
    createDutyFleet,
    dutyLeaseMilliseconds,
    type DutyProcess,
    type ReceivedCall,
    thawMilliseconds,
} from "../__fixtures__/dutyFleet.js";

enum FaultKind {
    ChangeCoordinator = "change_coordinator",
    SplitCoordinators = "split_coordinators",
    Pause = "pause",
    PauseInCall = "pause_in_call",
    SuspendInCall = "suspend_in_call",
    LoseAnswer = "lose_answer",
    CutStore = "cut_store",
    Stop = "stop",
    Kill = "kill",
}

const names = ["a", "b", "c"];
const callIntervalMilliseconds = 60;
const restartMilliseconds = 300;

const faults = fc.array(
    fc.record({
        kind: fc.constantFrom(...Object.values(FaultKind)),
        process: fc.nat(names.length - 1),
        milliseconds: fc.integer({ min: 50, max: 5_000 }),
        /** Time until the next fault. */
        wait: fc.integer({ min: 20, max: 4_000 }),
        /** Time that the platform takes to answer, and whether it answers that the rate is too high. */
        answerMilliseconds: fc.integer({ min: 0, max: 3_000 }),
        isThrottled: fc.boolean(),
    }),
    { minLength: 4, maxLength: 14 },
);

type Fault = typeof faults extends fc.Arbitrary<readonly (infer Item)[]> ? Item : never;

/** Plays faults in a fleet whose processes call all the time. */
async function play(sequence: readonly Fault[]) {
    const { clock, received, start, setAnswer } = createDutyFleet();
    let coordinators = [0];
    const resumptions: { incarnation: number; from: number; to: number; }[] = [];
    const problems: string[] = [];
    let incarnations = 0;
    const launch = (index: number) => {
        const started = start(names[index]!, () => coordinators.includes(index));
        const incarnation = ++incarnations;
        const running = { ...started, incarnation, isEnded: false };
        const { host, calls } = running;
        void (async () => {
            for (let window = 0; !running.isEnded; window++) {
                void calls.reportUsage({ window, counts: new Map() });
                void calls.order({ service: "s", availabilityZone: "z", desired: window, isReclaimable: false });
                await host.clock.sleepUntil(host.clock.monotonicNow() + callIntervalMilliseconds);
            }
        })();
        return running;
    };
    const fleet = [...names.keys()].map(launch);
    const restart = (index: number) => {
        fleet[index]!.isEnded = true;
        fleet[index] = launch(index);
    };
    await clock.advance(1_500);
    for (const fault of sequence) {
        const { process: index } = fault;
        const one = fleet[index]!;
        setAnswer(async () => {
            await clock.sleepUntil(clock.monotonicNow() + fault.answerMilliseconds);
            return fault.isThrottled ? DutyAnswer.Throttled : DutyAnswer.Accepted;
        });
        switch (fault.kind) {
            case FaultKind.ChangeCoordinator:
                coordinators = [index];
                break;
            case FaultKind.SplitCoordinators:
                coordinators = [...names.keys()].filter(other => other !== index);
                break;
            case FaultKind.Pause:
                one.host.pause(fault.milliseconds);
                resumptions.push({
                    incarnation: one.incarnation,
                    from: clock.monotonicNow(),
                    to: clock.monotonicNow() + fault.milliseconds,
                });
                break;
            case FaultKind.PauseInCall:
                one.host.failNext(CallKind.EngineOrder, CallFault.PauseBefore);
                break;
            case FaultKind.SuspendInCall:
                one.host.failNext(CallKind.EngineOrder, CallFault.PauseAfter);
                break;
            case FaultKind.LoseAnswer:
                one.host.failNext(CallKind.EngineOrder, CallFault.LoseAnswer);
                break;
            case FaultKind.CutStore:
                one.host.cutOff(CallKind.Store, true);
                void clock.sleepUntil(clock.monotonicNow() + fault.milliseconds)
                    .then(() => one.host.cutOff(CallKind.Store, false));
                break;
            case FaultKind.Stop:
                await stop(one);
                restart(index);
                break;
            case FaultKind.Kill:
                one.host.kill();
                await clock.advance(restartMilliseconds);
                restart(index);
                break;
        }
        await clock.advance(fault.wait);
    }
    coordinators = [0];
    fleet.forEach(one => one.host.cutOff(CallKind.Store, false));
    setAnswer(() => Promise.resolve(DutyAnswer.Accepted));
    await clock.advance(25_000);
    const lastCallAt = received.at(-1)?.at ?? 0;
    if (clock.monotonicNow() - lastCallAt > 2_000) {
        problems.push(`nobody has called since ${lastCallAt} of ${clock.monotonicNow()}`);
    }
    fleet.forEach(one => {
        one.isEnded = true;
        one.stop();
    });
    await clock.advance(10_000);
    return { received, problems: [...problems, ...checkOrder(received), ...checkPauses(received, resumptions)] };

    /** Stops a process, which ends within its grace period, also if it is paused now. */
    async function stop(one: DutyProcess): Promise<void> {
        let isStopped = false;
        void one.stopped.then(() => {
            isStopped = true;
        });
        one.stop();
        for (let waited = 0; !isStopped && waited < 12_000; waited += 100) {
            await clock.advance(100);
        }
        if (!isStopped) {
            problems.push(`${one.name} did not stop`);
        }
        one.host.kill();
    }
}

function checkOrder(received: readonly ReceivedCall[]): readonly string[] {
    const problems: string[] = [];
    received.slice(1).forEach((call, index) => {
        if (call.fencingNumber < received[index]!.fencingNumber) {
            problems.push(`${call.fencingNumber} after ${received[index]!.fencingNumber} at ${call.at}`);
        }
    });
    const owners = new Map<number, number>();
    for (const { fencingNumber, incarnation } of received) {
        if ((owners.get(fencingNumber) ?? incarnation) !== incarnation) {
            problems.push(`two processes used ${fencingNumber}`);
        }
        owners.set(fencingNumber, incarnation);
    }
    const changes = received.filter((call, index) => call.holder !== received[index - 1]?.holder);
    changes.slice(2).forEach((third, index) => {
        const lastOfFirst = received.findLast(({ at, holder }) =>
            at <= changes[index + 1]!.at && holder === third.holder
        );
        if (lastOfFirst && third.at - lastOfFirst.at < dutyLeaseMilliseconds) {
            problems.push(`${third.holder} again at ${third.at}, ${third.at - lastOfFirst.at} ms after its last call`);
        }
    });
    return problems;
}

function checkPauses(
    received: readonly ReceivedCall[],
    pauses: readonly { incarnation: number; from: number; to: number; }[],
): readonly string[] {
    // Shorter pauses can't be distinguished from a busy event loop.
    return pauses.filter(({ from, to }) => to - from > 400).flatMap(({ incarnation, from, to }) =>
        received
            .filter(call => call.incarnation === incarnation && call.at > from && call.at < to + thawMilliseconds)
            .map(({ at }) => `call at ${at} of a process that was paused from ${from} to ${to}`)
    );
}

// Guards against a call that reaches the platform after one with a higher number, holders that follow each other in the
// order A, B, A within a lease's length, and calls right after a suspension.
test("holders keep the order of their calls under random faults", async () => {
    let calls = 0;
    await fc.assert(
        fc.asyncProperty(faults, async sequence => {
            const { received, problems } = await play(sequence);
            calls += received.length;
            assert.deepEqual(problems, []);
        }),
        { seed: 4_711, numRuns: 25 },
    );
    assert.ok(calls > 5_000, `${calls} calls`);
});
