import { createSeededRandom, EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type CrashRecord, evidenceLifetimeMilliseconds, requestDepth } from "../crashRecord.js";
import { type CrashEvidence, createCrashEvidence } from "../createCrashEvidence.js";

const secondMilliseconds = 1_000;

type Changes = Partial<Pick<CrashRecord, "uncertainty" | "chain">>;

function createScene() {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const evidence = createCrashEvidence(clock, eventLog);
    const record = (targetId: string, endedAt: number, fingerprints: readonly string[], changes: Changes = {}) => {
        const { uncertainty = 0, chain = 1 } = changes;
        const suspects = fingerprints.map(fingerprint => ({
            fingerprint,
            chain,
            depth: requestDepth,
            wasAnswered: false,
        }));
        evidence.recordCrash({ targetId, endedAt, uncertainty, suspects });
    };
    /** Records that targets ended one second after the other while these calls ran there. */
    const crash = async (targetIds: readonly string[], fingerprints: readonly string[] = ["bad"]) => {
        for (const targetId of targetIds) {
            record(targetId, clock.monotonicNow(), fingerprints);
            await clock.advance(secondMilliseconds);
        }
    };
    return { clock, eventLog, evidence, record, crash };
}

function isListed(evidence: CrashEvidence, fingerprint = "bad"): boolean {
    return evidence.findListed(fingerprint) !== undefined;
}

describe("evidence on requests that end their targets", () => {
    it("lists a request once three targets have ended under it, and says until when", async () => {
        const { evidence, crash, eventLog } = createScene();
        await crash(["t1", "t2"]);
        assert.equal(isListed(evidence), false);
        await crash(["t3"], ["bad", "fresh"]);
        assert.deepEqual(evidence.findListed("bad"), {
            fingerprint: "bad",
            targetIds: ["t1", "t2", "t3"],
            until: evidenceLifetimeMilliseconds,
        });
        assert.equal(isListed(evidence, "fresh"), false);
        await crash(["t4"]);
        assert.equal(evidence.findListed("bad")?.until, secondMilliseconds + evidenceLifetimeMilliseconds);
        assert.deepEqual(eventLog.of(EventKind.CallListed).map(({ fields }) => fields), [
            { fingerprint: "bad", targets: "t1,t2,t3" },
            { fingerprint: "bad", targets: "t1,t2,t3,t4" },
        ]);
    });

    // Guards against one end that counts several times, because several processes had the same call there.
    it("counts the end of a target once, whoever reports it and how often", async () => {
        const { evidence, crash } = createScene();
        await crash(["t1", "t1", "t2"]);
        const records = evidence.list();
        evidence.recordRemote(records);
        evidence.recordRemote(records.map(record => ({ ...record, age: record.age + 400 })));
        assert.equal(isListed(evidence), false);
        assert.equal(evidence.list().length, 2);
    });

    // Guards against a popular request that is kept out because it runs at nearly every target that ends.
    it("lists no request that is answered between the ends", async () => {
        const { evidence, crash } = createScene();
        for (const targetId of ["t1", "t2", "t3", "t4", "t5", "t6"]) {
            await crash([targetId], ["bad", "popular"]);
            evidence.recordAnswer("popular");
        }
        assert.equal(isListed(evidence, "popular"), false);
        assert.equal(isListed(evidence), true);
    });

    it("lists no request that another process has seen answered, and accepts no older evidence against it", async () => {
        const { evidence, crash, clock } = createScene();
        const other = createCrashEvidence(clock, new MemoryEventLog());
        await crash(["t1", "t2", "t3"]);
        const accusing = evidence.list();
        other.recordRemote(accusing);
        other.recordAnswer("bad");
        evidence.recordRemote(other.list());
        evidence.recordRemote(accusing);
        assert.equal(isListed(evidence), false);
        await crash(["t4", "t5", "t6"]);
        assert.equal(isListed(evidence), true, "evidence from after the answer counts");
    });

    // Guards against popular requests that are kept out because a rack fails.
    it("counts targets that end at the same time once", async () => {
        const { evidence, clock, crash, record } = createScene();
        ["t1", "t2", "t3", "t4"].forEach((targetId, index) => record(targetId, index * 30, ["bad"]));
        await clock.advance(secondMilliseconds);
        assert.equal(isListed(evidence), false);
        await crash(["t5", "t6"]);
        assert.equal(isListed(evidence), true);
    });

    // Guards against popular requests that are kept out because a zone goes dark, whose entries expire one by one.
    it("counts targets once that may have ended at the same time", async () => {
        const { evidence, clock, record } = createScene();
        await clock.advance(10_000);
        const uncertainty = 3_500;
        [7_600, 8_100, 8_900, 9_700].forEach((at, index) => record(`t${index}`, at, ["bad"], { uncertainty }));
        assert.equal(isListed(evidence), false);
        record("t5", 10_000, ["bad"]);
        assert.equal(isListed(evidence), false);
    });

    // Guards against an attempt that ends a target every few milliseconds, whose ends count as one.
    it("counts the ends that one attempt ran into, however close they are", () => {
        const { evidence, record } = createScene();
        record("t1", 0, ["bad"]);
        record("t2", 20, ["bad"], { chain: 2 });
        assert.equal(isListed(evidence), false);
        record("t3", 40, ["bad"], { chain: 3 });
        assert.equal(isListed(evidence), true);
    });

    it("counts close ends of two attempts that ran into two targets each", () => {
        const { evidence, record } = createScene();
        record("t1", 0, ["bad"]);
        record("t2", 20, ["bad"], { chain: 2 });
        record("t3", 1_000, ["bad"]);
        assert.equal(isListed(evidence), true);
    });

    it("counts an end only once for an attempt whose earlier end lies further back", async () => {
        const { evidence, record } = createScene();
        record("t1", 0, ["bad"]);
        record("t2", 1_000, ["bad"], { chain: 2 });
        assert.equal(isListed(evidence), false);
    });

    it("lets a request run again once its evidence has expired, also evidence of other processes", async () => {
        const { evidence, clock, crash } = createScene();
        await crash(["t1", "t2", "t3"]);
        const other = createCrashEvidence(clock, new MemoryEventLog());
        await clock.advance(evidenceLifetimeMilliseconds - 10 * secondMilliseconds);
        other.recordRemote(evidence.list());
        assert.equal(isListed(other), true);
        await clock.advance(8 * secondMilliseconds);
        assert.equal(isListed(evidence), false);
        assert.equal(isListed(other), false);
        await clock.advance(5 * secondMilliseconds);
        assert.equal(evidence.digest(), 0);
        assert.equal(evidence.isEmpty(), true);
    });

    it("has the same digest wherever the same records arrive, in whatever order", async () => {
        const { evidence, clock, crash } = createScene();
        await crash(["t1", "t2", "t3"], ["bad", "popular"]);
        evidence.recordAnswer("popular");
        const random = createSeededRandom(7);
        for (let round = 0; round < 20; round++) {
            const other = createCrashEvidence(clock, new MemoryEventLog());
            const records = evidence.list().flatMap(record => [record, { ...record, isRefuted: false }]);
            const shuffled = records.map(record => ({ record, key: random.fraction() }))
                .sort((left, right) => left.key - right.key);
            shuffled.forEach(({ record }) => other.recordRemote([record]));
            assert.equal(other.digest(), evidence.digest());
        }
        assert.notEqual(evidence.digest(), 0);
    });

    it("keeps a bounded number of records, the newest", () => {
        const { evidence, record } = createScene();
        for (let number = 0; number < 5_000; number++) {
            record("t1", 0, [`call-${number}`]);
        }
        const records = evidence.list();
        assert.equal(records.length, 2_048);
        assert.equal(records.at(-1)?.fingerprint, "call-4999");
    });

    it("tells its listeners only what is new", async () => {
        const { evidence, crash } = createScene();
        const told: string[] = [];
        evidence.onChanged((records, source) =>
            records.forEach(({ targetId, isRefuted }) => told.push(`${targetId} ${isRefuted} ${source ?? "own"}`))
        );
        await crash(["t1", "t1"]);
        const records = evidence.list();
        evidence.recordRemote(records, "peer");
        const end = {
            age: 5,
            uncertainty: 0,
            chain: 1,
            isRefuted: false,
            depth: requestDepth,
            wasAnswered: false,
            idle: 5,
        };
        const other = { ...end, fingerprint: "bad", targetId: "t2" };
        evidence.recordRemote([...records, other], "peer");
        evidence.recordAnswer("bad");
        evidence.recordAnswer("bad");
        assert.deepEqual(told, ["t1 false own", "t2 false peer", "t1 true own", "t2 true own"]);
    });
});
