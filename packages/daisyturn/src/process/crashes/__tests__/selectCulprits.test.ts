import { createSeededRandom } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type KnownRecord, requestDepth } from "../crashRecord.js";
import { selectCulprits, type Suspect } from "../selectCulprits.js";

const endIntervalMilliseconds = 1_000;

function createRecord(end: number, changes: Partial<KnownRecord> = {}): KnownRecord {
    const endedAt = end * endIntervalMilliseconds;
    const record = { endedAt, lastSeenAt: endedAt, uncertainty: 0, chain: 1, isRefuted: false, depth: 0 };
    return { ...record, wasAnswered: false, ...changes };
}

/** A suspect that was aboard the ends with these numbers, one second after the other. */
function createSuspect(fingerprint: string, depth: number, ends: readonly number[], wasAnswered = false): Suspect {
    return {
        fingerprint,
        depth,
        wasAnswered,
        ends: new Map(ends.map(end => [`t${end}`, createRecord(end)])),
        refuted: new Map(),
    };
}

function select(...suspects: readonly Suspect[]): string[] {
    return [...selectCulprits(suspects).culprits.keys()].sort();
}

function selectUndecided(...suspects: readonly Suspect[]): string[] {
    return [...selectCulprits(suspects).undecided].sort();
}

/** Requests that were aboard one end each, as each prompt with a part has one of its own. */
function createRequests(ends: readonly number[]): Suspect[] {
    return ends.map(end => createSuspect(`request${end}`, requestDepth, [end]));
}

describe("the selection of what ends targets", () => {
    // Guards against a first part that is blamed for what a part of its prompts does, so that its whole route is refused.
    it("blames the most specific of the parts that were aboard all ends", () => {
        const parts = ["first", "second", "bad"].map((name, depth) => createSuspect(name, depth, [1, 2, 3]));
        assert.deepEqual(select(...parts, ...createRequests([1, 2, 3])), ["bad"]);
    });

    it("blames the first part if nothing more specific was aboard more than one end", () => {
        const others = [1, 2, 3].map(end => createSuspect(`session${end}`, 1, [end]));
        assert.deepEqual(select(createSuspect("first", 0, [1, 2, 3]), ...others), ["first"]);
    });

    it("blames a request rather than its parts, and its part once another request with it ends targets", () => {
        const request = createSuspect("request", requestDepth, [1, 2, 3]);
        assert.deepEqual(select(createSuspect("part", 1, [1, 2, 3]), request), ["request"]);
        assert.deepEqual(select(createSuspect("part", 1, [1, 2, 3, 4, 5]), request), ["part"]);
    });

    // Guards against a session of several prompts with the part that is blamed in its place for good.
    it("blames a part rather than the sessions under it once it explains two ends more", () => {
        const sessions = [createSuspect("s1", 2, [1, 2, 3]), createSuspect("s2", 2, [4]), createSuspect("s3", 2, [5])];
        assert.deepEqual(select(createSuspect("bad", 1, [1, 2, 3]), ...sessions), ["s1"]);
        assert.deepEqual(select(createSuspect("bad", 1, [1, 2, 3, 4, 5]), ...sessions), ["bad"]);
    });

    // Guards against two parts that hide each other, and against blame for the first part above both.
    it("tells two parts under one first part apart", () => {
        const plays = [
            { one: [1, 3], other: [2, 4], culprits: [] },
            { one: [1, 3, 5], other: [2, 4], culprits: ["one"] },
            { one: [1, 3, 5], other: [2, 4, 6], culprits: ["one", "other"] },
        ];
        for (const { one, other, culprits } of plays) {
            const first = createSuspect("first", 0, [...one, ...other]);
            assert.deepEqual(select(first, createSuspect("one", 1, one), createSuspect("other", 1, other)), culprits);
        }
    });

    it("needs five ends to blame a part that was answered before", () => {
        assert.deepEqual(select(createSuspect("popular", 0, [1, 2, 3, 4], true)), []);
        assert.deepEqual(select(createSuspect("popular", 0, [1, 2, 3, 4, 5], true)), ["popular"]);
    });

    // Guards against one of two requests that is kept out although the other one ends the targets.
    it("waits for another end while two requests were aboard the same ends", () => {
        const innocent = createSuspect("innocent", requestDepth, [1, 2, 3]);
        assert.deepEqual(select(innocent, createSuspect("bad", requestDepth, [1, 2, 3])), []);
        assert.deepEqual(select(innocent, createSuspect("bad", requestDepth, [1, 2, 3, 4])), ["bad"]);
        assert.deepEqual(
            select(innocent, createSuspect("bad", requestDepth, [1, 2])),
            [],
            "another one ended the third",
        );
    });

    // Guards against a request that is kept out because it ran into the ends of two others.
    it("waits for another end while others were aboard some ends of a request and others besides", () => {
        const innocent = createSuspect("innocent", requestDepth, [1, 2, 3]);
        const bad = createSuspect("bad", requestDepth, [1, 2]);
        for (const depth of [0, 1, requestDepth]) {
            assert.deepEqual(select(innocent, bad, createSuspect("other", depth, [3, 4])), []);
        }
        assert.deepEqual(
            select(innocent, createSuspect("bad", requestDepth, [1, 2, 4, 5]), createSuspect("other", 1, [3])),
            ["bad"],
        );
    });

    it("waits for another end although a listed request explains what others were aboard besides", () => {
        const part = createSuspect("part", 1, [4, 5, 5.05]);
        const runs = [[5, 1], [5.05, 2], [6, 1]] as const;
        const ends = new Map(runs.map(([end, chain]) => [`t${end}`, createRecord(end, { chain })]));
        const innocent = { ...createSuspect("innocent", requestDepth, []), ends };
        assert.deepEqual(select(innocent), ["innocent"]);
        assert.deepEqual(select(createSuspect("bad", requestDepth, [1, 2, 3, 4]), part, innocent), ["bad"]);
    });

    // Guards against requests that reach target after target without showing whether they end them.
    it("tells which requests the next end decides on", () => {
        const victims = [[1, 2], [2, 3], [1, 3]].map((ends, index) =>
            createSuspect(`victim${index}`, requestDepth, ends)
        );
        const first = createSuspect("first", 0, [1, 2, 3], true);
        assert.deepEqual(selectUndecided(createSuspect("bad", requestDepth, [1, 2, 3]), first, ...victims), ["bad"]);
        assert.deepEqual(selectUndecided(createSuspect("bad", requestDepth, [1, 2, 3, 4]), first, ...victims), []);
        assert.deepEqual(selectUndecided(first, ...victims), []);
    });

    // Guards against a popular part that is new when a rack ends, and against ends that silent targets hide.
    it("counts ends of one moment once, and uses all that is known of when a target ended", () => {
        const records = [0, 1, 2, 3].map(index => [`t${index}`, createRecord(1 + index / 100)] as const);
        const racked = { ...createSuspect("new", 0, []), ends: new Map(records) };
        assert.deepEqual(select(racked), []);
        const silent = [1, 2, 3].map(end => [`t${end}`, createRecord(end + 2, { uncertainty: 3_000 })] as const);
        const suspect = { ...createSuspect("bad", 1, []), ends: new Map(silent) };
        assert.deepEqual(select(suspect), []);
        const refuted = new Map([1, 2, 3].map(end => [`t${end}`, createRecord(end + 0.4, { uncertainty: 500 })]));
        const popular = { ...createSuspect("popular", 0, []), refuted };
        assert.deepEqual(select(suspect, popular), ["bad"]);
    });

    // Guards against processes that disagree because the same records came in another order.
    it("does not depend on the order of the suspects", () => {
        const random = createSeededRandom(11);
        const suspects = [...Array(40).keys()].map(index => {
            const ends = [1, 2, 3, 4, 5, 6, 7, 8].filter(() => random.fraction() < 0.3);
            return createSuspect(`s${index}`, Math.floor(random.fraction() * 4), ends, random.fraction() < 0.3);
        });
        const expected = select(...suspects);
        for (let round = 0; round < 20; round++) {
            const keyed = suspects.map(suspect => ({ suspect, key: random.fraction() }));
            assert.deepEqual(
                select(...keyed.sort((left, right) => left.key - right.key).map(one => one.suspect)),
                expected,
            );
        }
    });
});
