import { EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTargetLinks } from "../createTargetLinks.js";

function createLinks() {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    return { clock, eventLog, links: createTargetLinks(clock, eventLog) };
}

// Guards against logs that name only targets while the process's own links are at fault.
test("a process whose connections fail to most targets logs once that its links are lost, and once that they are back", async () => {
    const { clock, eventLog, links } = createLinks();
    links.recordContact("10.0.0.1:80");
    await clock.advance(10);
    for (let host = 1; host <= 3; host++) {
        links.recordFailure(`10.0.0.${host}:80`, "connect timeout");
    }
    assert.equal(links.isCutOff(), true);
    assert.deepEqual(eventLog.of(EventKind.LinksLost).map(({ fields }) => fields), [
        { failing: 2, working: 0, reason: "connect timeout" },
    ]);
    await clock.advance(10);
    links.recordContact("10.0.0.1:80");
    links.recordContact("10.0.0.2:80");
    assert.equal(links.isCutOff(), false);
    assert.equal(eventLog.of(EventKind.LinksRestored).length, 1);
});

test("a single failing target does not show that links are lost, nor do old failures", async () => {
    const { clock, eventLog, links } = createLinks();
    links.recordFailure("10.0.0.1:80", "ECONNREFUSED");
    assert.equal(links.isCutOff(), false);
    await clock.advance(4_000);
    links.recordFailure("10.0.0.2:80", "ECONNREFUSED");
    assert.equal(links.isCutOff(), false);
    assert.equal(eventLog.events.length, 0);
});
