import { createSeededRandom, FakeClock } from "daisyturn-utils";
import { createTargetLoads } from "../../forwarding/views/createTargetLoads.js";
import { createPlainShortage, type PlainShortage, QueueResult } from "../createPlainShortage.js";

/** A stream of calls with the same account and priority. */
export interface SurgeSource {
    readonly account: string;
    readonly priority: number;
    /** Calls a second of all processes, in the calm time and during the surge. */
    readonly calm: number;
    readonly surge: number;
}

/** Options of {@link simulateSurge}. */
export interface SurgeOptions {
    readonly seed: number;
    readonly processes: number;
    readonly sources: readonly SurgeSource[];
    /** Whether the product's queue is used; otherwise all calls are sent at once. */
    readonly hasQueue: boolean;
    readonly timeout: number;
    /** Whether refused callers repeat their call at once, as often as their time allows, in place of the time in Retry-After. */
    readonly repeatsAtOnce?: boolean;
}

/** What happened to the calls of one account during the surge. */
export interface SurgeResult {
    calls: number;
    /** Answered before their deadline. */
    served: number;
    /** Refused by a target whose queue was full. */
    refusedByTargets: number;
    /** Longest time until a call was refused by its process. */
    longestRefusal: number;
}

export const targetCount = 4;
export const slotsPerTarget = 6;
const maxWaiting = 24;
const meanDuration = 100;
const stepMilliseconds = 5;
const calmMilliseconds = 2_000;
const surgeMilliseconds = 3_000;
/** Callers on the same host as their process come back no sooner. */
const repeatMilliseconds = 10;

/** Capacity of all targets in calls a second. */
export const capacity = targetCount * slotsPerTarget * 1_000 / meanDuration;

/** Processes of the product's queue in front of targets with slots and a queue of their own, and drawn calls. */
export async function simulateSurge(options: SurgeOptions): Promise<ReadonlyMap<string, SurgeResult>> {
    const { processes, sources, hasQueue, timeout } = options;
    const random = createSeededRandom(options.seed);
    const clock = new FakeClock();
    const targets = Array.from({ length: targetCount }, (value, index) => createTarget(`t-${index}`, clock));
    const open = targets.map(({ targetId }) => ({ targetId, slots: slotsPerTarget }) as never);
    const entries = Array.from({ length: processes }, () => {
        const loads = createTargetLoads(clock);
        const shortage: PlainShortage = createPlainShortage({
            targets: { open: () => open },
            availability: { check: () => undefined },
            continuity: { isConfirmed: () => true },
            health: { selectTrusted: usable => usable },
            loads,
            isActive: () => hasQueue,
            recordQueued: () => undefined,
            clock,
        });
        return { loads, shortage };
    });
    const results = new Map(sources.map(({ account }) => [
        account,
        { calls: 0, served: 0, refusedByTargets: 0, longestRefusal: 0 },
    ]));

    const attempt = async (
        { account, priority }: SurgeSource,
        deadline: number,
        result: SurgeResult,
    ): Promise<boolean> => {
        const { loads, shortage } = entries[Math.floor(random.fraction() * processes)] ?? never();
        const arrivedAt = clock.monotonicNow();
        const call = { service: "plain", account, priority, deadline, signal: new AbortController().signal };
        if (!shortage.mayPass(call)) {
            const { result: ended, retryAt = arrivedAt } = await shortage.wait(call);
            const now = clock.monotonicNow();
            if (ended !== QueueResult.Started) {
                result.longestRefusal = Math.max(result.longestRefusal, now - arrivedAt);
                const nextAt = options.repeatsAtOnce
                    ? now + repeatMilliseconds
                    : Math.max(retryAt, now + repeatMilliseconds);
                await clock.sleepUntil(Math.min(nextAt, deadline));
                return clock.monotonicNow() < deadline
                    ? attempt({ account, priority } as SurgeSource, deadline, result)
                    : false;
            }
        }
        const target = targets.reduce((best, other) =>
            loads.calls(other.targetId) + random.fraction() / 2 < loads.calls(best.targetId) ? other : best
        );
        const work = loads.begin(target.targetId, { work: 0, isDeferred: false, tokens: 0 });
        const sentAt = clock.monotonicNow();
        const isAnswered = await target.run(meanDuration * (0.5 + random.fraction()));
        loads.recordReport(target.targetId, target.report());
        shortage.recordReport({ targetId: target.targetId, service: "plain" }, target.report());
        work.end();
        if (isAnswered) {
            shortage.recordEnd("plain", clock.monotonicNow() - sentAt);
        }
        else {
            result.refusedByTargets += 1;
        }
        return isAnswered && clock.monotonicNow() <= deadline;
    };

    const place = async (source: SurgeSource) => {
        const isCounted = clock.monotonicNow() >= calmMilliseconds;
        const result = results.get(source.account) ?? never();
        const discarded = { calls: 0, served: 0, refusedByTargets: 0, longestRefusal: 0 };
        const counted = isCounted ? result : discarded;
        counted.calls += 1;
        const isServed = await attempt(source, clock.monotonicNow() + timeout, counted);
        counted.served += isServed ? 1 : 0;
    };

    for (let now = 0; now < calmMilliseconds + surgeMilliseconds; now += stepMilliseconds) {
        for (const source of sources) {
            const rate = now < calmMilliseconds ? source.calm : source.surge;
            for (let due = rate * stepMilliseconds / 1_000; random.fraction() < due; due -= 1) {
                void place(source);
            }
        }
        await clock.advance(stepMilliseconds);
    }
    await clock.advance(2 * timeout);
    return results;
}

/** A target with slots, a queue in order of arrival, and 503 beyond. */
function createTarget(targetId: string, clock: FakeClock) {
    let running = 0;
    const waiting: (() => void)[] = [];
    return {
        targetId,
        report: () => ({ running, waiting: waiting.length, slots: slotsPerTarget }),
        /** @returns false if the queue is full */
        run: async (duration: number): Promise<boolean> => {
            if (running >= slotsPerTarget) {
                if (waiting.length >= maxWaiting) {
                    return false;
                }
                await new Promise<void>(resolve => waiting.push(resolve));
            }
            else {
                running += 1;
            }
            await clock.sleepUntil(clock.monotonicNow() + duration);
            const next = waiting.shift();
            if (next) {
                next();
            }
            else {
                running -= 1;
            }
            return true;
        },
    };
}

function never(): never {
    throw new Error("not possible");
}
