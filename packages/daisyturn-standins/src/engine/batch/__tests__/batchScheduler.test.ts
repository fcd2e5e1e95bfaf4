import { GeneratePart, type GenerateRequest, Priority } from "daisyturn";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { buildPrompt } from "../../__fixtures__/localRig.js";
import { createPrefixCache } from "../../cache/prefixCache.js";
import { engineOptionsSchema, type EngineSettings } from "../../engineOptions.js";
import { createEngineStream, type EngineStream } from "../../engineStream.js";
import { type BatchScheduler, createBatchScheduler } from "../batchScheduler.js";

/** Relative error allowed between a measured rate and the formula, for the partial steps at both ends. */
const tolerance = 0.01;

interface SchedulerCase {
    readonly settings: EngineSettings;
    readonly scheduler: BatchScheduler;
    readonly ended: string[];
    /** Submits a stream and returns it. */
    submit(changes: Partial<GenerateRequest>): EngineStream;
}

function createCase(options: Partial<EngineSettings> = {}): SchedulerCase {
    const settings = engineOptionsSchema.parse({ id: "engine-1", models: ["large"], ...formulaSettings, ...options });
    const ended: string[] = [];
    const cache = createPrefixCache(settings.prefixCacheBlocks);
    const scheduler = createBatchScheduler(settings, cache, {
        progressed: () => undefined,
        prefilled: stream => void cache.store(stream.request.promptBlocks),
        ended: stream => void ended.push(stream.request.streamId),
    });
    let submitted = 0;
    const submit = (changes: Partial<GenerateRequest>) => {
        submitted += 1;
        const stream = createEngineStream({
            streamId: `st-${submitted}`,
            part: GeneratePart.Whole,
            model: "large",
            prompt: buildPrompt("x", 64, 10),
            promptBlocks: [],
            maxOutputTokens: 100_000,
            priority: Priority.Interactive,
            deadline: 0,
            ...changes,
        });
        scheduler.submit(stream, 0, 0);
        return stream;
    };
    return { settings, scheduler, ended, submit };
}

function assertNear(measured: number, expected: number): void {
    const error = Math.abs(measured / expected - 1);
    assert.ok(error <= tolerance, `measured ${measured}, formula ${expected}`);
}

// The settings of docs/design/engine-stand-in.md, repeated here so that the formula does not depend on the tested code.
const formulaSettings = {
    stepBaseMilliseconds: 8,
    stepPerDecodeStreamMilliseconds: 0.25,
    stepPerPrefillTokenMilliseconds: 0.05,
    prefillTokensPerStep: 512,
};

describe("createBatchScheduler", () => {
    for (const streams of [1, 16, 64]) {
        it(`decodes ${streams} streams at the formula's rate`, () => {
            const { scheduler, submit } = createCase({ kvTokensCapacity: 10_000_000 });
            const records = Array.from(Array(streams).keys(), () => submit({ prompt: buildPrompt("x", 8, 90_000) }));
            scheduler.advanceTo(10_000);
            const before = records.map(record => record.generatedTokens);
            scheduler.advanceTo(110_000);
            const rates = records.map((record, index) => (record.generatedTokens - (before[index] ?? 0)) / 100);
            rates.forEach(rate => assertNear(rate, 1_000 / (8 + 0.25 * streams)));
        });
    }

    it("prefills at the formula's rate", () => {
        const { scheduler, submit, ended } = createCase();
        for (let index = 0; index < 200; index++) {
            submit({ prompt: buildPrompt("x", 4_096, 1), part: GeneratePart.Prefill });
        }
        const expected = 200 * 4_096 / 512 * (8 + 0.05 * 512);
        scheduler.advanceTo(expected * (1 - tolerance));
        assert.ok(ended.length < 200);
        scheduler.advanceTo(expected * (1 + tolerance));
        assert.equal(ended.length, 200);
    });

    it("slows decoding down while a prefill runs in the same steps", () => {
        const { scheduler, submit } = createCase({ kvTokensCapacity: 10_000_000 });
        const decoding = submit({ prompt: buildPrompt("x", 8, 90_000) });
        submit({ prompt: buildPrompt("x", 2_000_000, 1), maxOutputTokens: 1 });
        scheduler.advanceTo(1_000);
        const before = decoding.generatedTokens;
        scheduler.advanceTo(101_000);
        const rate = (decoding.generatedTokens - before) / 100;
        assertNear(rate, 1_000 / (8 + 0.25 + 0.05 * 512));
    });

    it("starts interactive work before bulk work that arrived earlier", () => {
        const { scheduler, submit, ended } = createCase({ maxRunningStreams: 1 });
        submit({});
        submit({ priority: Priority.Bulk });
        submit({ priority: Priority.Interactive });
        scheduler.advanceTo(100_000);
        assert.deepEqual(ended, ["st-1", "st-3", "st-2"]);
    });

    it("does not start bulk work before interactive work that waits for memory", () => {
        const { scheduler, submit, ended } = createCase({ kvTokensCapacity: 1_000 });
        const small = { prompt: buildPrompt("x", 8, 10), maxOutputTokens: 10 };
        submit({ prompt: buildPrompt("x", 500, 30), maxOutputTokens: 30 });
        submit({ prompt: buildPrompt("x", 800, 1), maxOutputTokens: 1 });
        submit({ ...small, priority: Priority.Bulk });
        scheduler.advanceTo(100_000);
        assert.deepEqual(ended, ["st-1", "st-2", "st-3"]);
    });

    it("prefills only what is not cached", () => {
        const { scheduler, submit } = createCase();
        const blocks = Array.from(Array(16).keys(), index => `block-${index}`);
        const prompt = buildPrompt("x", 1_024, 1);
        submit({ prompt, promptBlocks: blocks });
        scheduler.advanceTo(1_000);
        const half = submit({ prompt, promptBlocks: [...blocks.slice(0, 8), ...Array<string>(8).fill("other")] });
        assert.equal(half.cachedTokens, 512);
        scheduler.advanceTo(1_000 + 8 + 511 * 0.05);
        assert.equal(half.generatedTokens, 0);
        scheduler.advanceTo(1_000 + 8 + 512 * 0.05);
        assert.equal(half.generatedTokens, 1);
    });

    it("never exceeds the memory or the batch limit, and completes every stream that is not removed", () => {
        const work = fc.record({
            prompt: fc.integer({ min: 8, max: 1_500 }),
            answer: fc.integer({ min: 0, max: 40 }),
            bulk: fc.boolean(),
            pause: fc.integer({ min: 0, max: 60 }),
            removed: fc.boolean(),
        });
        fc.assert(fc.property(fc.array(work, { maxLength: 40 }), items => {
            const limits = { kvTokensCapacity: 6_000, maxRunningStreams: 4 };
            const { scheduler, submit, ended } = createCase(limits);
            const kept: EngineStream[] = [];
            let now = 0;
            for (const item of items) {
                const prompt = buildPrompt("x", item.prompt, item.answer);
                const priority = item.bulk ? Priority.Bulk : Priority.Interactive;
                const record = submit({ prompt, priority, maxOutputTokens: 50 });
                now += item.pause;
                scheduler.advanceTo(now);
                if (!item.removed || !scheduler.remove(record.request.streamId)) {
                    kept.push(record);
                }
                const counts = scheduler.counts();
                assert.ok(counts.kvTokensUsed <= limits.kvTokensCapacity);
                assert.ok(counts.running <= limits.maxRunningStreams);
            }
            scheduler.advanceTo(now + 1_000_000);
            assert.deepEqual([...ended].sort(), kept.map(record => record.request.streamId).sort());
            assert.ok(kept.every(record => record.generatedTokens === record.targetTokens));
            assert.equal(scheduler.counts().kvTokensUsed, 0);
            assert.equal(scheduler.nextEventAt(), undefined);
        }));
    });
});

describe("createPrefixCache", () => {
    it("behaves like a plain list ordered by use", () => {
        const blockNames = fc.uniqueArray(fc.constantFrom<string[]>("a", "b", "c", "d", "e", "f"), { maxLength: 4 });
        const uses = fc.array(fc.record({ blocks: blockNames, isStored: fc.boolean() }), { maxLength: 30 });
        fc.assert(
            fc.property(uses, fc.integer({ min: 1, max: 5 }), (sequence, capacity) => {
                const cache = createPrefixCache(capacity);
                let naive: string[] = [];
                for (const { blocks, isStored } of sequence) {
                    const firstAbsent = blocks.findIndex(block => !naive.includes(block));
                    const expected = firstAbsent === -1 ? blocks.length : firstAbsent;
                    assert.equal(cache.match(blocks), expected);
                    const used = [...blocks.slice(0, expected)].reverse();
                    naive = [...naive.filter(block => !used.includes(block)), ...used];
                    if (!isStored) {
                        continue;
                    }
                    const kept = [...blocks.slice(0, capacity)].reverse();
                    const whole = [...naive.filter(block => !kept.includes(block)), ...kept];
                    const evicted = whole.slice(0, Math.max(0, whole.length - capacity));
                    const change = cache.store(blocks);
                    assert.deepEqual(change.evicted, evicted);
                    assert.deepEqual([...change.stored].sort(), kept.filter(block => !naive.includes(block)).sort());
                    naive = whole.slice(evicted.length);
                }
            }),
            { numRuns: 2_000 },
        );
    });
});
