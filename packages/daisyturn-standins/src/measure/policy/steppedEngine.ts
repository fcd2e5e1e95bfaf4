import {
    type CacheEvent,
    type CacheEventPage,
    Engine,
    EnginePhase,
    EngineRole,
    type EngineState,
    type LoadReport,
    OrderAnswer,
    Priority,
} from "daisyturn";
import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { VirtualClock } from "./virtualClock.js";

/** Step durations and reporting lags of an engine, in milliseconds, and the size of its cache. */
export interface SteppedEngineSettings {
    readonly stepBase: number;
    readonly stepPerStream: number;
    readonly stepPerPrefillToken: number;
    /** Prompt tokens that one step prefills at most. */
    readonly chunkTokens: number;
    readonly maximumBatch: number;
    readonly cacheBlocks: number;
    readonly reportLag: number;
    readonly cacheEventLag: number;
    /** Factor by which the reported prefill and decode rates exceed the actual ones. */
    readonly reportedRateFactor: number;
}

export const defaultEngineSettings: SteppedEngineSettings = {
    stepBase: 12,
    stepPerStream: 0.35,
    stepPerPrefillToken: 0.1,
    chunkTokens: 512,
    maximumBatch: 256,
    cacheBlocks: 4_000,
    reportLag: 500,
    cacheEventLag: 1_000,
    reportedRateFactor: 1,
};

/** A request submitted to a stepped engine, with callbacks for its progress. */
export interface SteppedWork {
    readonly streamId: string;
    readonly promptTokens: number;
    readonly promptBlocks: readonly string[];
    readonly outputTokens: number;
    readonly priority: Priority;
    readonly onFirstToken: () => void;
    readonly onEnd: (usage: { cachedTokens: number; longestGap: number; }) => void;
}

interface Running extends SteppedWork {
    toPrefill: number;
    cachedTokens: number;
    generated: number;
    lastTokenAt: number;
    longestGap: number;
}

const tokensPerBlock = 64;
const snapshotInterval = 100;
const modelName = "large";

/**
 * An in-process engine with continuous batching, for measurements: each step prefills a chunk of the waiting prompts
 * and generates one token for every running stream. The step duration is `stepBase` plus a cost per stream and per
 * prefilled token. It uses no network and generates no text.
 */
export class SteppedEngine extends Engine {
    /** Total duration of its steps in milliseconds. */
    busy = 0;
    prefilledTokens = 0;
    generatedTokens = 0;
    /** Factor applied to the duration of every step. */
    slowdown = 1;
    isHung = false;
    role = EngineRole.Mixed;
    private waiting: Running[] = [];
    private batch: Running[] = [];
    private readonly cache = new Map<string, true>();
    private readonly snapshots: LoadReport[] = [];
    private readonly events: { readonly at: number; readonly event: CacheEvent; }[] = [];
    private sequence = 0;
    private isStepping = false;

    constructor(
        override readonly engineId: string,
        private readonly clock: VirtualClock,
        private readonly settings: SteppedEngineSettings,
    ) {
        super();
        this.takeSnapshot();
    }

    submit(work: SteppedWork): void {
        const cachedTokens = this.countCached(work.promptBlocks) * tokensPerBlock;
        const toPrefill = Math.max(1, work.promptTokens - cachedTokens);
        this.waiting.push({ ...work, toPrefill, cachedTokens, generated: 0, lastTokenAt: 0, longestGap: 0 });
        if (!this.isStepping) {
            this.step();
        }
    }

    private step(): void {
        this.isStepping = this.waiting.length + this.batch.length > 0 && !this.isHung;
        if (!this.isStepping) {
            return;
        }
        const chunk = this.prefillChunk();
        const { stepBase, stepPerStream, stepPerPrefillToken } = this.settings;
        const length = stepBase + stepPerStream * this.batch.length + stepPerPrefillToken * chunk;
        this.busy += length * this.slowdown;
        this.prefilledTokens += chunk;
        this.clock.at(this.clock.monotonicNow() + length * this.slowdown, () => this.finishStep());
    }

    private prefillChunk(): number {
        let remainingTokens = this.batch.length < this.settings.maximumBatch ? this.settings.chunkTokens : 0;
        const order = [...this.waiting].sort((one, other) => rank(one) - rank(other));
        const start = remainingTokens;
        for (const work of order) {
            const part = Math.min(remainingTokens, work.toPrefill);
            work.toPrefill -= part;
            remainingTokens -= part;
            if (remainingTokens === 0) {
                break;
            }
        }
        return start - remainingTokens;
    }

    private finishStep(): void {
        const now = this.clock.monotonicNow();
        this.batch.forEach(stream => this.generateToken(stream, now));
        for (const stream of this.batch.filter(one => one.generated >= one.outputTokens)) {
            stream.onEnd({ cachedTokens: stream.cachedTokens, longestGap: stream.longestGap });
        }
        this.batch = this.batch.filter(one => one.generated < one.outputTokens);
        for (const work of this.waiting.filter(one => one.toPrefill === 0)) {
            this.store(work.promptBlocks);
            work.lastTokenAt = now;
            work.generated = 1;
            this.generatedTokens += 1;
            work.onFirstToken();
            this.batch.push(work);
        }
        this.waiting = this.waiting.filter(one => one.toPrefill > 0);
        this.step();
    }

    private generateToken(stream: Running, now: number): void {
        stream.generated += 1;
        this.generatedTokens += 1;
        stream.longestGap = Math.max(stream.longestGap, now - stream.lastTokenAt);
        stream.lastTokenAt = now;
    }

    private countCached(blocks: readonly string[]): number {
        const end = blocks.findIndex(block => !this.cache.has(block));
        return end < 0 ? blocks.length : end;
    }

    private store(blocks: readonly string[]): void {
        const stored = blocks.filter(block => !this.cache.has(block));
        blocks.forEach(block => {
            this.cache.delete(block);
            this.cache.set(block, true);
        });
        const evicted: string[] = [];
        for (const block of this.cache.keys()) {
            if (this.cache.size <= this.settings.cacheBlocks) {
                break;
            }
            this.cache.delete(block);
            evicted.push(block);
        }
        this.sequence += 1;
        this.events.push({ at: this.clock.monotonicNow(), event: { sequence: this.sequence, stored, evicted } });
    }

    private takeSnapshot(): void {
        const { stepPerPrefillToken, stepBase, stepPerStream, reportedRateFactor } = this.settings;
        this.snapshots.push({
            engineId: this.engineId,
            incarnation: "1",
            asOf: this.clock.wallNow(),
            role: this.role,
            phase: EnginePhase.Serving,
            runningStreams: this.batch.length,
            queuedRequests: this.waiting.length,
            queuedPrefillTokens: sum(this.waiting, one => one.toPrefill),
            outstandingOutputTokens: sum([...this.batch, ...this.waiting], one => one.outputTokens - one.generated),
            kvTokensUsed: sum(this.batch, one => one.promptTokens + one.generated),
            kvTokensCapacity: 1_000_000,
            prefillRate: 1_000 / stepPerPrefillToken * reportedRateFactor,
            decodeRate: 1_000 / (stepBase + stepPerStream) * reportedRateFactor,
            recentStreamIds: [...this.batch, ...this.waiting].map(one => one.streamId),
        });
        this.clock.at(this.clock.monotonicNow() + snapshotInterval, () => this.takeSnapshot());
    }

    override readLoad(): Promise<Result<LoadReport, Failure>> {
        const latest = this.clock.wallNow() - this.settings.reportLag;
        while (this.snapshots.length > 1 && this.snapshots[1]!.asOf <= latest) {
            this.snapshots.shift();
        }
        return Promise.resolve(ok(this.snapshots[0]!));
    }

    override readCacheEvents(cursor: number): Promise<Result<CacheEventPage, Failure>> {
        const latest = this.clock.monotonicNow() - this.settings.cacheEventLag;
        const due = this.events.filter(one => one.at <= latest && one.event.sequence > cursor).map(one => one.event);
        const page = { incarnation: "1", events: due, cursor: due.at(-1)?.sequence ?? cursor };
        return Promise.resolve(ok(page));
    }

    override readState(): Promise<Result<EngineState, Failure>> {
        return Promise.resolve(ok({
            engineId: this.engineId,
            incarnation: "1",
            role: this.role,
            phase: EnginePhase.Serving,
            draining: false,
            models: [modelName],
            adapters: [],
            version: "1",
            runningStreams: this.batch.length,
            queuedRequests: this.waiting.length,
        }));
    }

    override generate(): Promise<Result<never, Failure>> {
        return Promise.resolve(err(notOffered));
    }

    override resume(): Promise<Result<never, Failure>> {
        return Promise.resolve(err(notOffered));
    }

    override cancel(): Promise<Result<void, Failure>> {
        return Promise.resolve(err(notOffered));
    }

    override order(): Promise<Result<OrderAnswer, Failure>> {
        return Promise.resolve(err(notOffered));
    }
}

const notOffered = notRun(FailureReason.TargetRefused, "Measurements submit work directly.");

function rank(work: SteppedWork): number {
    return work.priority === Priority.Interactive ? 0 : 1;
}

function sum<Item>(items: readonly Item[], value: (item: Item) => number): number {
    return items.reduce((total, item) => total + value(item), 0);
}
