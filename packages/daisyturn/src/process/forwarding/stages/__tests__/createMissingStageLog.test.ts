import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createMissingStageLog, StageDelay } from "../createMissingStageLog.js";

// Guards against an outage whose logs do not tell whether an order was planned, or what it waited for.
test("each reason why no engine decodes is logged once, and the end of it", async () => {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const log = createMissingStageLog(clock, eventLog);
    log.recordMissing("engines", 2, StageDelay.Unconfirmed);
    await clock.advance(500);
    log.recordMissing("engines", 2, StageDelay.AwaitsLease);
    log.recordMissing("engines", 2, StageDelay.AwaitsLease);
    await clock.advance(1_000);
    log.recordPresent("engines");
    log.recordPresent("engines");
    assert.deepEqual(
        eventLog.of(EventKind.StageMissing).map(({ fields }) => [fields["reason"], fields["lasting"]]),
        [["unconfirmed", 0], ["awaits_lease", 500]],
    );
    assert.deepEqual(eventLog.of(EventKind.StageRestored).map(({ fields }) => fields["lasting"]), [1_500]);
});
