import { EventKind, FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { describe, it } from "node:test";
import { createLoggedProcess } from "../__fixtures__/createLogText.js";
import {
    createEventFilter,
    drawTimeLine,
    type EventFilter,
    formatEvent,
    type LineProblem,
    mergeEvents,
    orderEvents,
    readEvents,
    type TimedEvent,
} from "../index.js";

async function merge(texts: readonly string[], onBroken: (broken: LineProblem) => void = () => undefined) {
    const events: TimedEvent[] = [];
    const logs = texts.map((...[text, index]) =>
        orderEvents(readEvents(Readable.from([text]), `log-${index}`, onBroken), onBroken)
    );
    for await (const event of mergeEvents(logs)) {
        events.push(event);
    }
    return events;
}

describe("mergeEvents", () => {
    it("puts an effect after its cause although the causing process's wall clock is ahead", async () => {
        const ahead = new FakeClock();
        ahead.jumpWall(60_000);
        const sender = createLoggedProcess("entry-1", ahead);
        const receiver = createLoggedProcess("entry-2", new FakeClock());
        receiver.eventLog.record(EventKind.ProcessStarted);
        sender.eventLog.record(EventKind.ConfigurationAccepted, { generation: 7 });
        receiver.hybridClock.observe(sender.hybridClock.stamp());
        receiver.eventLog.record(EventKind.ConfigurationInForce, { generation: 7 });
        const events = await merge([receiver.text(), sender.text()]);
        assert.deepEqual(events.map(event => `${event.process} ${event.kind}`), [
            "entry-2 process_started",
            "entry-1 configuration_accepted",
            "entry-2 configuration_in_force",
        ]);
    });

    it("tells of broken lines by file and line, and goes on", async () => {
        const log = createLoggedProcess("entry-1", new FakeClock());
        log.eventLog.record(EventKind.ProcessReady);
        const broken: LineProblem[] = [];
        const events = await merge(
            [`half a li\n${log.text()}stamp=nonsense event=x process=y\n`],
            one => broken.push(one),
        );
        assert.equal(events.length, 1);
        assert.deepEqual(broken.map(one => one.line), [1, 3]);
    });

    it("puts the logs of two processes in one file in order, and tells of what is too far out of it", async () => {
        const clock = new FakeClock();
        const logs = ["entry-1", "entry-2"].map(name => createLoggedProcess(name, clock));
        for (let step = 0; step < 150; step++) {
            logs[step % 2]?.eventLog.record(EventKind.Fault, { step });
            await clock.advance(1);
        }
        const broken: LineProblem[] = [];
        const text = logs.map(log => log.text()).join("");
        const events = await merge([text], one => broken.push(one));
        assert.deepEqual(
            events.map(event => Number(event.fields["step"])),
            Array.from({ length: 150 }, (...[, at]) => at),
        );
        assert.equal(broken.length, 0);
        const far = await merge([text + text + text], one => broken.push(one));
        assert.equal(far.length, 450);
        assert.ok(broken.length > 0 && broken.every(one => one.problem.startsWith("out of order")));
    });

    it("keeps values with blanks, quotes and equals signs whole", async () => {
        const log = createLoggedProcess("entry-1", new FakeClock());
        const reason = "a \"quoted\" value = with signs";
        log.eventLog.record(EventKind.Fault, { reason });
        const [event] = await merge([log.text()]);
        assert.equal(event?.fields["reason"], reason);
    });
});

describe("createEventFilter", () => {
    it("narrows to a request, an engine and a process", async () => {
        const log = createLoggedProcess("entry-1", new FakeClock());
        log.eventLog.record(EventKind.RequestDispatched, { request: "r1", engine: "e1" });
        log.eventLog.record(EventKind.RequestDispatched, { request: "r2", engine: "e1" });
        const events = await merge([log.text()]);
        const count = (filter: EventFilter) => events.filter(createEventFilter(filter)).length;
        assert.equal(count({ request: "r1" }), 1);
        assert.equal(count({ engine: "e1" }), 2);
        assert.equal(count({ engine: "e1", request: "r3" }), 0);
        assert.equal(count({ process: "entry-2" }), 0);
    });

    it("narrows to a VM by what each run of a process said at its start", async () => {
        const logs = ["entry-1", "entry-2"].map(name => createLoggedProcess(name, new FakeClock()));
        for (const [index, log] of logs.entries()) {
            log.eventLog.record(EventKind.ProcessStarted, { vm: `vm-${index + 1}` });
            log.eventLog.record(EventKind.ProcessReady);
        }
        const events = await merge(logs.map(log => log.text()));
        const found = events.filter(createEventFilter({ vm: "vm-2" }));
        assert.deepEqual(found.map(event => event.process), ["entry-2", "entry-2"]);
    });
});

describe("drawTimeLine", () => {
    it("shows each event, and nothing that a field holds acts as markup", async () => {
        const log = createLoggedProcess("entry-1", new FakeClock());
        log.eventLog.record(EventKind.Fault, { reason: "<script>alert(1)</script>" });
        const events = await merge([log.text()]);
        const page = drawTimeLine(events);
        assert.equal(page.includes("<script>"), false);
        assert.equal(page.match(/<circle/g)?.length, 1);
        assert.match(formatEvent(events[0] as TimedEvent), /entry-1 +fault +reason=<script>/);
    });
});
