import { EventKind, FailureReason, MemoryEventLog } from "daisyturn-utils";
import { StatsD } from "hot-shots";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createMeteredEventLog } from "../entry/createMeteredEventLog.js";

function createMetered() {
    const client = new StatsD({ mock: true, prefix: "daisyturn." });
    const inner = new MemoryEventLog();
    return { eventLog: createMeteredEventLog(inner, client), inner, sent: client.mockBuffer ?? [] };
}

describe("createMeteredEventLog", () => {
    it("counts each event by kind, partner and reason, and still records it", () => {
        const { eventLog, inner, sent } = createMetered();
        eventLog.record(EventKind.RequestRefused, {
            partner: "north",
            reason: FailureReason.Overloaded,
            request: "r1",
        });
        assert.equal(inner.of(EventKind.RequestRefused).length, 1);
        assert.deepEqual(sent, ["daisyturn.events.request_refused:1|c|#partner:north,reason:overloaded"]);
    });

    it("does not use a fault's free text as a tag", () => {
        const { eventLog, sent } = createMetered();
        eventLog.record(EventKind.Fault, { reason: "TypeError: something" });
        assert.deepEqual(sent, ["daisyturn.events.fault:1|c"]);
    });

    it("reports the time to the first token", () => {
        const { eventLog, sent } = createMetered();
        eventLog.record(EventKind.RequestFirstToken, { afterMilliseconds: 120 });
        assert.ok(sent.includes("daisyturn.request.first_token:120|ms"));
    });
});
