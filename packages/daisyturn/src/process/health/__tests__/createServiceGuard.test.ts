import { EventKind, ExecutionVerdict, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PausableClock } from "../../../__fixtures__/pausableClock.js";
import { createServiceGuard, OutOfServiceReason } from "../createServiceGuard.js";

function createGuard() {
    const clock = new FakeClock();
    const ownClock = new PausableClock(clock);
    const eventLog = new MemoryEventLog();
    const heard: { store?: number; majority?: number; isPresumedEnded: boolean; } = { isPresumedEnded: false };
    const guard = createServiceGuard({
        clock: ownClock,
        eventLog,
        majority: { majorityContactAt: () => heard.majority, isPresumedEnded: () => heard.isPresumedEnded },
        lastStoreAnswerAt: () => heard.store,
    });
    const changes: boolean[] = [];
    guard.onChange(isInService => changes.push(isInService));
    const stop = new AbortController();
    void guard.run(stop.signal);
    return { clock, ownClock, eventLog, heard, guard, changes };
}

describe("createServiceGuard", () => {
    it("starts out of service, and enters it on word from the store or from a majority", async () => {
        for (const source of ["store", "majority"] as const) {
            const { clock, guard, heard, changes } = createGuard();
            await clock.advance(1_000);
            assert.equal(guard.reason(), OutOfServiceReason.Starting);
            heard[source] = clock.monotonicNow();
            await clock.advance(300);
            assert.ok(guard.isInService());
            assert.deepEqual(changes, [true]);
        }
    });

    it("leaves service when it hears neither for too long, refuses as not run, and returns by itself", async () => {
        const { clock, eventLog, guard, heard, changes } = createGuard();
        heard.store = 0;
        heard.majority = 1_000;
        await clock.advance(5_900);
        assert.equal(guard.refusal(), undefined);
        await clock.advance(600);
        assert.equal(guard.reason(), OutOfServiceReason.CutOff);
        assert.equal(guard.refusal()?.verdict, ExecutionVerdict.NotRun);
        heard.store = clock.monotonicNow();
        await clock.advance(300);
        assert.ok(guard.isInService());
        assert.deepEqual(changes, [true, false, true]);
        assert.equal(eventLog.of(EventKind.OutOfService).length, 1);
    });

    it("notices its own pause at the first look, and waits for word that is not from the backlog", async () => {
        const { clock, ownClock, guard, heard } = createGuard();
        heard.majority = clock.monotonicNow();
        assert.ok(guard.isInService());
        ownClock.pause();
        await clock.advance(4_000);
        heard.majority = clock.monotonicNow();
        assert.equal(guard.reason(), OutOfServiceReason.Paused, "asked before the guard's own check has run");
        ownClock.resume();
        await clock.advance(200);
        heard.majority = clock.monotonicNow();
        await clock.advance(100);
        assert.equal(guard.reason(), OutOfServiceReason.Paused, "had waited in a buffer");
        heard.majority = clock.monotonicNow();
        assert.ok(guard.isInService());
    });

    it("takes a jump of the wall clock for a pause of the whole VM", async () => {
        const { clock, guard, heard } = createGuard();
        heard.store = 0;
        await clock.advance(500);
        assert.ok(guard.isInService());
        clock.jumpWall(60_000);
        await clock.advance(250);
        assert.equal(guard.reason(), OutOfServiceReason.Paused);
        await clock.advance(500);
        heard.store = clock.monotonicNow();
        assert.ok(guard.isInService());
    });

    it("stays out of service once others have proof that this run has ended", async () => {
        const { clock, guard, heard } = createGuard();
        heard.isPresumedEnded = true;
        heard.store = 0;
        await clock.advance(1_000);
        assert.equal(guard.reason(), OutOfServiceReason.PresumedEnded);
    });
});
