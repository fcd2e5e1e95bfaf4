import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineStage, type ListedTarget } from "../../../../ports/listedTarget.js";
import { createClosedTargets } from "../createClosedTargets.js";
import { createTargetAvailability, UnavailableReason } from "../createTargetAvailability.js";
import { createTargetList } from "../createTargetList.js";

function createBench(stages: Readonly<Record<string, EngineStage | undefined>>) {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const targets = createTargetList({ decode: (name, text) => JSON.parse(text) as ListedTarget, clock, eventLog });
    const closed = createClosedTargets(clock, eventLog);
    const availability = createTargetAvailability(targets, closed, clock, eventLog);
    targets.onRemoved(availability.forget);
    targets.replace(
        Object.entries(stages).map(([name, stage]) => {
            const target = {
                targetId: name,
                name,
                service: "s",
                address: "10.0.0.1:80",
                availabilityZone: "z",
                slots: 4,
                isLeaving: false,
                softwareVersion: "v1",
                stage,
            };
            return { key: name, version: 1, text: JSON.stringify(target) };
        }),
    );
    return { clock, eventLog, targets, closed, availability };
}

// Guards against calls to a target that wants none, whatever the reason.
test("says why a target takes no work, and until when", () => {
    const { clock, targets, closed, availability } = createBench({ a: undefined, b: undefined });
    assert.equal(availability.check("a"), undefined);
    availability.recordRest("a", 3_000);
    assert.deepEqual(availability.check("a"), {
        reason: UnavailableReason.Resting,
        until: clock.monotonicNow() + 3_000,
    });
    closed.close("a", clock.monotonicNow() + 1_000);
    assert.equal(availability.check("a")?.reason, UnavailableReason.Closed);
    availability.recordLeaving("a");
    assert.equal(availability.check("a")?.reason, UnavailableReason.Leaving);
    assert.equal(availability.check("unknown")?.reason, UnavailableReason.Leaving);
    targets.change([{ key: "b", version: 2, text: undefined }]);
    assert.equal(availability.check("b")?.reason, UnavailableReason.Leaving);
});

test("a rest lasts as long as the longest of those named, and ends by itself", async () => {
    const { clock, eventLog, availability } = createBench({ a: undefined });
    availability.recordRest("a", 3_000);
    availability.recordRest("a", 1_000);
    await clock.advance(2_900);
    assert.equal(availability.countResting(), 1);
    assert.equal(availability.check("a")?.reason, UnavailableReason.Resting);
    await clock.advance(101);
    assert.equal(availability.check("a"), undefined);
    assert.equal(availability.countResting(), 0);
    assert.equal(eventLog.of(EventKind.TargetResting).length, 1);
});

test("nothing rests for a time that is none, and nothing for over an hour", async () => {
    const { clock, eventLog, availability } = createBench({ a: undefined });
    [undefined, 0, -5, NaN, NaN].forEach(milliseconds => availability.recordRest("a", milliseconds));
    assert.equal(availability.check("a"), undefined);
    assert.equal(eventLog.of(EventKind.Fault).length, 1);
    availability.recordRest("a", 1e15);
    await clock.advance(3_600_001);
    assert.equal(availability.check("a"), undefined);
});

// Guards against refusals whose time does not come true.
test("tells when the first target of a service is back, of those that can serve a call alone", () => {
    const { clock, targets, availability } = createBench({
        a: EngineStage.Decode,
        b: EngineStage.Decode,
        p: EngineStage.Prefill,
    });
    availability.recordRest("a", 3_000);
    assert.equal(availability.nextAt("s"), undefined, "b takes work");
    availability.recordRest("b", 2_000);
    assert.equal(availability.nextAt("s"), clock.monotonicNow() + 2_000);
    targets.recordLeaving("b");
    assert.equal(availability.nextAt("s"), clock.monotonicNow() + 3_000);
    targets.recordLeaving("a");
    assert.equal(availability.nextAt("s"), undefined);
    assert.equal(availability.nextAt("unknown"), undefined);
});

// Guards against a full target that is taken for a resting one, or for which callers get a wrong time.
test("a target without tokens takes no work until the first time that was named", async () => {
    const { clock, availability } = createBench({ a: undefined, b: undefined });
    assert.equal(availability.nextThrottleEnd("s"), undefined);
    const now = clock.monotonicNow();
    availability.recordThrottle("a", now + 300);
    availability.recordThrottle("a", now + 200);
    availability.recordThrottle("a", now + 400);
    assert.deepEqual(availability.check("a"), { reason: UnavailableReason.Throttled, until: now + 200 });
    assert.equal(availability.nextAt("s"), undefined, "the other one takes work");
    assert.equal(availability.nextThrottleEnd("s"), now + 200);
    availability.recordThrottle("b", now + 100);
    assert.equal(availability.nextAt("s"), now + 100);
    assert.deepEqual([availability.countThrottled(), availability.countResting()], [2, 0]);
    await clock.advance(201);
    assert.equal(availability.check("a"), undefined);
});
