import { EventKind, FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { describe, it } from "node:test";
import { createLoggedProcess } from "../__fixtures__/createLoggedProcess.js";
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

async function merge(texts: readonly string[], onProblem: (problem: LineProblem) => void = () => undefined) {
    const events: TimedEvent[] = [];
    const logs = texts.map((...[text, index]) =>
        orderEvents(readEvents(Readable.from([text]), `log-${index}`, onProblem), onProblem)
    );
    for await (const event of mergeEvents(logs)) {
        events.push(event);
    }
    return events;
}

describe("mergeEvents", () => {
    it("puts an effect after its cause even if the wall clock of the causing process is ahead", async () => {
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

    it("reports invalid lines by file and line, and continues", async () => {
        const log = createLoggedProcess("entry-1", new FakeClock());
        log.eventLog.record(EventKind.ProcessReady);
        const problems: LineProblem[] = [];
        const events = await merge(
            [`half a li\n${log.text()}stamp=nonsense event=x process=y\n`],
            problem => problems.push(problem),
        );
        assert.equal(events.length, 1);
        assert.deepEqual(problems.map(problem => problem.line), [1, 3]);
    });

    it("sorts a file with the logs of two processes, and reports events that are too far out of order", async () => {
        const clock = new FakeClock();
        const logs = ["entry-1", "entry-2"].map(name => createLoggedProcess(name, clock));
        for (let step = 0; step < 150; step++) {
            logs[step % 2]?.eventLog.record(EventKind.Fault, { step });
            await clock.advance(1);
        }
        const problems: LineProblem[] = [];
        const text = logs.map(log => log.text()).join("");
        const events = await merge([text], problem => problems.push(problem));
        assert.deepEqual(
            events.map(event => Number(event.fields["step"])),
            Array.from({ length: 150 }, (...[, at]) => at),
        );
        assert.equal(problems.length, 0);
        const far = await merge([text + text + text], problem => problems.push(problem));
        assert.equal(far.length, 450);
        assert.ok(problems.length > 0 && problems.every(problem => problem.problem.startsWith("out of order")));
    });

    it("preserves values with spaces, quotes and equals signs", async () => {
        const log = createLoggedProcess("entry-1", new FakeClock());
        const reason = "a \"quoted\" value = with signs";
        log.eventLog.record(EventKind.Fault, { reason });
        const [event] = await merge([log.text()]);
        assert.equal(event?.fields["reason"], reason);
    });
});

describe("createEventFilter", () => {
    it("filters by request, engine and process", async () => {
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

    it("filters by the VM that each incarnation logged at its start", async () => {
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
    it("shows each event, and escapes markup in fields", async () => {
        const log = createLoggedProcess("entry-1", new FakeClock());
        log.eventLog.record(EventKind.Fault, { reason: "<script>alert(1)</script>" });
        const events = await merge([log.text()]);
        const page = drawTimeLine(events);
        assert.equal(page.includes("<script>"), false);
        assert.equal(page.match(/<circle/g)?.length, 1);
        assert.match(formatEvent(events[0] as TimedEvent), /entry-1 +fault +reason=<script>/);
    });
});
