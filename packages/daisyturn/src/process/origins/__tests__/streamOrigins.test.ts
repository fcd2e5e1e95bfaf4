import { createSeededRandom, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import { createMemoryTableService } from "../../../ports/memoryTableService.js";
import { createTargetList } from "../../forwarding/targets/createTargetList.js";
import { createStreamOrigins } from "../createStreamOrigins.js";
import { createVersionHistory } from "../createVersionHistory.js";
import { createVersionRecord } from "../createVersionRecord.js";

/** The history reaches back as far as this if no caller waits longer. */
const historyMilliseconds = 10_000;
/** A change is recorded within this time. */
const writeMilliseconds = 300;

function createOrigins() {
    const clock = new FakeClock();
    const origins = createStreamOrigins(clock);
    const record = (streamId: string, softwareVersion: string, lifetime: number) =>
        origins.record({ streamId, service: "s", softwareVersion, deadline: clock.monotonicNow() + lifetime });
    return { clock, origins, record };
}

describe("the origins of streams", () => {
    it("expire after the caller's deadline, and no origin is kept for good", async () => {
        const { clock, origins, record } = createOrigins();
        record("short", "v1", 20_000);
        record("endless", "v1", Infinity);
        await clock.advance(19_000);
        assert.equal(origins.find("short")?.softwareVersion, "v1");
        await clock.advance(2_000);
        assert.equal(origins.find("short"), undefined);
        await clock.advance(600_000);
        assert.deepEqual(origins.list(), []);
    });

    it("keep the version that was recorded first, and the later deadline", async () => {
        const { clock, origins, record } = createOrigins();
        record("stream", "v1", 20_000);
        record("stream", "v2", 40_000);
        await clock.advance(30_000);
        assert.equal(origins.find("stream")?.softwareVersion, "v1");
    });

    it("are bounded in number by removing the oldest", () => {
        const { origins, record } = createOrigins();
        for (let number = 0; number < 10_000; number++) {
            record(`stream-${number}`, "v1", 60_000);
        }
        assert.equal(origins.list().length, 8_192);
        assert.equal(origins.find("stream-0"), undefined);
        assert.ok(origins.find("stream-9999"));
    });
});

function createHistory() {
    const clock = new FakeClock();
    const targets = createTargetList({
        decode: (name, text) => JSON.parse(text) as ListedTarget,
        clock,
        eventLog: new MemoryEventLog(),
    });
    const origins = createStreamOrigins(clock);
    const record = createVersionRecord({
        tableService: createMemoryTableService(),
        targets,
        origins,
        writerId: "writer",
        clock,
        random: createSeededRandom(1),
    });
    void record.run(new AbortController().signal);
    const history = createVersionHistory(targets, record, clock);
    const describeTarget = (name: string, softwareVersion: string, isLeaving = false) =>
        JSON.stringify({ targetId: name, name, service: "s", address: "10.0.0.1:80", softwareVersion, isLeaving });
    const list = (name: string, softwareVersion: string, isLeaving?: boolean) =>
        targets.change([{ key: name, version: 1, text: describeTarget(name, softwareVersion, isLeaving) }]);
    const remove = (name: string) => targets.change([{ key: name, version: 2, text: undefined }]);
    targets.replace([]);
    return { clock, origins, history, list, remove };
}

describe("the history of software versions", () => {
    // Guards against a process that takes the versions listed at its start for all that may have begun streams.
    it("is complete once versions were recorded for as long as streams last", async () => {
        const { clock, history } = createHistory();
        await clock.advance(historyMilliseconds - 1);
        assert.equal(history.isComplete(), false);
        await clock.advance(writeMilliseconds);
        assert.equal(history.isComplete(), true);
    });

    it("reaches back as far as the callers of streams wait", async () => {
        const { clock, origins, history } = createHistory();
        const deadline = clock.monotonicNow() + 30_000;
        origins.record({ streamId: "stream", service: "s", softwareVersion: "v1", deadline });
        await clock.advance(30_000);
        assert.equal(history.isComplete(), false);
        // Lifetimes are recorded as powers of two.
        await clock.advance(10_000 + writeMilliseconds);
        assert.equal(history.isComplete(), true);
    });

    it("regards targets that are leaving or gone, until their streams have ended", async () => {
        const { clock, history, list, remove } = createHistory();
        list("i-1", "v1");
        list("i-2", "v2", true);
        assert.deepEqual(history.list("s"), ["v1", "v2"]);
        remove("i-2");
        assert.deepEqual(history.list("s"), ["v1", "v2"]);
        await clock.advance(historyMilliseconds + 1);
        assert.deepEqual(history.list("s"), ["v1"]);
    });
});
