import { EventKind, ExecutionVerdict, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PausableClock } from "../../../__fixtures__/pausableClock.js";
import { createServiceGuard, OutOfServiceReason } from "../createServiceGuard.js";

function createGuard() {
    const clock = new FakeClock();
    const ownClock = new PausableClock(clock);
    const eventLog = new MemoryEventLog();
    const contacts: { store?: number; majority?: number; isPresumedEnded: boolean; } = { isPresumedEnded: false };
    const guard = createServiceGuard({
        clock: ownClock,
        eventLog,
        majority: { majorityContactAt: () => contacts.majority, isPresumedEnded: () => contacts.isPresumedEnded },
        lastStoreAnswerAt: () => contacts.store,
    });
    const changes: boolean[] = [];
    guard.onChange(isInService => changes.push(isInService));
    const stop = new AbortController();
    void guard.run(stop.signal);
    return { clock, ownClock, eventLog, contacts, guard, changes };
}

describe("createServiceGuard", () => {
    it("starts out of service, and enters service after a message from the store or from a majority", async () => {
        for (const source of ["store", "majority"] as const) {
            const { clock, guard, contacts, changes } = createGuard();
            await clock.advance(1_000);
            assert.equal(guard.reason(), OutOfServiceReason.Starting);
            contacts[source] = clock.monotonicNow();
            await clock.advance(300);
            assert.ok(guard.isInService());
            assert.deepEqual(changes, [true]);
        }
    });

    it("goes out of service without messages, refuses work as not run, and returns by itself", async () => {
        const { clock, eventLog, guard, contacts, changes } = createGuard();
        contacts.store = 0;
        contacts.majority = 1_000;
        await clock.advance(5_900);
        assert.equal(guard.refusal(), undefined);
        await clock.advance(600);
        assert.equal(guard.reason(), OutOfServiceReason.CutOff);
        assert.equal(guard.refusal()?.verdict, ExecutionVerdict.NotRun);
        contacts.store = clock.monotonicNow();
        await clock.advance(300);
        assert.ok(guard.isInService());
        assert.deepEqual(changes, [true, false, true]);
        assert.equal(eventLog.of(EventKind.OutOfService).length, 1);
    });

    it("detects its own pause at the first check, and waits for a message that is not from the backlog", async () => {
        const { clock, ownClock, guard, contacts } = createGuard();
        contacts.majority = clock.monotonicNow();
        assert.ok(guard.isInService());
        ownClock.pause();
        await clock.advance(4_000);
        contacts.majority = clock.monotonicNow();
        assert.equal(guard.reason(), OutOfServiceReason.Paused, "checked before the guard's own next check");
        ownClock.resume();
        await clock.advance(200);
        contacts.majority = clock.monotonicNow();
        await clock.advance(100);
        assert.equal(guard.reason(), OutOfServiceReason.Paused, "the message had waited in a buffer");
        contacts.majority = clock.monotonicNow();
        assert.ok(guard.isInService());
    });

    it("treats a jump of the wall clock as a pause of the whole VM", async () => {
        const { clock, guard, contacts } = createGuard();
        contacts.store = 0;
        await clock.advance(500);
        assert.ok(guard.isInService());
        clock.jumpWall(60_000);
        await clock.advance(250);
        assert.equal(guard.reason(), OutOfServiceReason.Paused);
        await clock.advance(500);
        contacts.store = clock.monotonicNow();
        assert.ok(guard.isInService());
    });

    it("stays out of service once other members have proof that this incarnation has ended", async () => {
        const { clock, guard, contacts } = createGuard();
        contacts.isPresumedEnded = true;
        contacts.store = 0;
        await clock.advance(1_000);
        assert.equal(guard.reason(), OutOfServiceReason.PresumedEnded);
    });
});
