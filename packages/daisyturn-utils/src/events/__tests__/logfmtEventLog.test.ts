import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createHybridLogicalClock, createLogfmtEventLog, EventKind, FakeClock } from "../../index.js";

function createLog() {
    const lines: string[] = [];
    const eventLog = createLogfmtEventLog({
        processId: "entry-1",
        incarnation: "run-1",
        hybridClock: createHybridLogicalClock(new FakeClock()),
        writeLine: line => lines.push(line),
    });
    return { lines, eventLog };
}

describe("createLogfmtEventLog", () => {
    it("writes one key=value line per event with stamp, event and process", () => {
        const { lines, eventLog } = createLog();
        eventLog.record(EventKind.RequestAccepted, { request: "req-1", reason: "two words" });
        assert.equal(lines.length, 1);
        assert.match(
            lines[0] ?? "",
            /^stamp=\d+-\d+ event=request_accepted level=info process=entry-1 incarnation=run-1 request=req-1 reason="two words"\n$/,
        );
    });

    it("keeps a field with line feeds and quotes on one line", () => {
        const { lines, eventLog } = createLog();
        eventLog.record(EventKind.Fault, { reason: "first\nsecond \"quoted\"" });
        assert.equal(lines.length, 1);
        assert.equal((lines[0] ?? "").split("\n").length, 2);
    });

    it("leaves out undefined fields, and the value of a number that is not finite", () => {
        const { lines, eventLog } = createLog();
        eventLog.record(EventKind.Fault, { peer: undefined, count: Infinity, isLate: false, size: 0, event: "other" });
        assert.match(
            lines[0] ?? "",
            / event=fault level=info process=entry-1 incarnation=run-1 count= isLate=false size=0\n$/,
        );
    });
});
