import { Clock, createSeededRandom, EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createOverloadGuard } from "../createOverloadGuard.js";

/** A clock on which each sleep ends `late` milliseconds after its deadline. */
class LateClock extends Clock {
    late = 0;
    now = 0;

    override monotonicNow(): number {
        return this.now;
    }

    override wallNow(): number {
        return this.now;
    }

    override async sleepUntil(deadline: number): Promise<void> {
        this.now = deadline + this.late;
        await new Promise(resolve => setImmediate(resolve));
    }
}

function createGuard(clock: Clock, eventLog: MemoryEventLog, sampleUtilization = () => 0.3) {
    return createOverloadGuard({ clock, random: createSeededRandom(1), eventLog, sampleUtilization });
}

test("refusals increase and decrease with the lag, and a lasting lag counts as a persistent overload", async () => {
    const clock = new LateClock();
    const eventLog = new MemoryEventLog();
    const guard = createGuard(clock, eventLog);
    const stop = new AbortController();
    const running = guard.run(stop.signal);
    const turns = async (count: number) => {
        for (let turn = 0; turn < count; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const refusedOf1000 = () => Array.from({ length: 1_000 }, () => guard.shouldRefuse()).filter(Boolean).length;

    await turns(5);
    assert.equal(refusedOf1000(), 0);
    clock.late = 190;
    await turns(3);
    const some = refusedOf1000();
    assert.ok(some > 300 && some < 600, `${some}`);
    clock.late = 600;
    await turns(6);
    const most = refusedOf1000();
    assert.ok(most > 850 && most < 950, `${most}`);
    assert.equal(guard.isPersistentlyOverloaded(), true);
    clock.late = 1;
    await turns(60);
    assert.equal(refusedOf1000(), 0);
    assert.equal(guard.isPersistentlyOverloaded(), false);
    assert.deepEqual(eventLog.events.map(event => event.kind), [EventKind.Overloaded, EventKind.BackInService]);
    stop.abort();
    await running;
});

test("calls are refused within a long turn of the event loop before any timer can fire", async () => {
    const clock = new LateClock();
    const guard = createGuard(clock, new MemoryEventLog());
    const stop = new AbortController();
    const running = guard.run(stop.signal);
    const refusedOf1000 = () => Array.from({ length: 1_000 }, () => guard.shouldRefuse()).filter(Boolean).length;
    assert.equal(refusedOf1000(), 0);
    clock.now += 500;
    assert.ok(refusedOf1000() > 850);
    stop.abort();
    await running;
});

test("refusals increase while the event loop is never idle and decrease once it has idle time", async () => {
    const clock = new LateClock();
    let utilization = 1;
    const guard = createGuard(clock, new MemoryEventLog(), () => utilization);
    const stop = new AbortController();
    const running = guard.run(stop.signal);
    const turns = async (count: number) => {
        for (let turn = 0; turn < count; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const refusedOf1000 = () => Array.from({ length: 1_000 }, () => guard.shouldRefuse()).filter(Boolean).length;
    await turns(18);
    const early = refusedOf1000();
    assert.ok(early > 50 && early < 500, `${early}`);
    await turns(40);
    assert.ok(refusedOf1000() > 850);
    assert.equal(guard.isPersistentlyOverloaded(), true);
    utilization = 0.6;
    await turns(80);
    assert.equal(refusedOf1000(), 0);
    assert.equal(guard.isPersistentlyOverloaded(), false);
    stop.abort();
    await running;
});

test("a process without calls sets no timer and resumes measuring with the next call", async () => {
    const clock = new FakeClock();
    let timers = 0;
    class CountingClock extends Clock {
        override monotonicNow = () => clock.monotonicNow();
        override wallNow = () => clock.wallNow();
        override sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
            timers += 1;
            return clock.sleepUntil(deadline, signal);
        }
    }
    const guard = createGuard(new CountingClock(), new MemoryEventLog());
    const stop = new AbortController();
    const running = guard.run(stop.signal);
    await clock.advance(1_000);
    assert.ok(timers <= 10, `${timers} timers in the first second`);
    timers = 0;
    await clock.advance(60_000);
    assert.equal(timers, 0);
    guard.shouldRefuse();
    await clock.advance(100);
    assert.ok(timers >= 3, `${timers} timers after a call`);
    stop.abort();
    await running;
});
