import { createDecayingRate } from "daisyturn-utils";
import type { ReportedLoad } from "../../ports/forwardedCall.js";

/**
 * Limits the rate at which one process sends calls to full targets. All processes together find the rate that keeps the
 * targets' queues short without messages to each other, since all of them see the same queues. Times are monotonic.
 */
export interface StartPacer {
    recordStart(now: number): void;
    recordReport(load: ReportedLoad, now: number): void;
    /**
     * Number of calls that may start now; infinite while no target was full a moment ago.
     * @param overdraft calls that may start before their time, so that others start later
     */
    countAvailable(now: number, overdraft: number): number;
}

/** Calls that wait at a target for each of its slots: enough that no slot is idle, and a short wait. */
const aimedWaiting = 0.5;
/** Change of the rate by one report, for each slot's worth of waiting calls below or above the aim. */
const gain = 0.1;
const maxDecrease = 0.3;
const maxIncrease = 0.05;
/** On the first report of a full target, calls have come too fast for as long as its queue has grown. */
const firstFactor = 0.7;
/** After this time without a full target, the rate is not limited. */
const shortageMilliseconds = 1_000;
const memoryMilliseconds = 500;
const maxTokens = 2;
const minPerSecond = 0.5;
const millisecondsPerSecond = 1_000;

export function createStartPacer(startedAt: number): StartPacer {
    const starts = createDecayingRate(memoryMilliseconds, startedAt);
    let fullAt = -Infinity;
    let perSecond = minPerSecond;
    let tokens = 0;
    let filledAt = startedAt;

    const isActive = (now: number) => now - fullAt < shortageMilliseconds;

    const fill = (now: number) => {
        tokens = Math.min(maxTokens, tokens + (now - filledAt) * perSecond / millisecondsPerSecond);
        filledAt = now;
    };

    return {
        recordStart: now => {
            fill(now);
            tokens -= 1;
            starts.add(1, now);
        },
        recordReport: ({ waiting, slots }, now) => {
            const excess = waiting / Math.max(1, slots) - aimedWaiting;
            if (!isActive(now)) {
                if (excess > 0) {
                    perSecond = Math.max(minPerSecond, starts.perSecond(now) * firstFactor);
                    tokens = 0;
                    filledAt = now;
                    fullAt = now;
                }
                return;
            }
            fill(now);
            perSecond *= 1 + Math.max(-maxDecrease, Math.min(maxIncrease, -gain * excess));
            perSecond = Math.max(minPerSecond, perSecond);
            if (excess > 0) {
                fullAt = now;
            }
        },
        countAvailable: (now, overdraft) => {
            if (!isActive(now)) {
                return Infinity;
            }
            fill(now);
            return Math.max(0, Math.floor(tokens + overdraft));
        },
    };
}
