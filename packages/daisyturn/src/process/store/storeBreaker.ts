import { type Clock, EventKind, type EventLog, type Random } from "daisyturn-utils";
import { jitter } from "./backOff.js";

/** Circuit breaker: stops calls while the store does not answer, and probes until it answers again. */
export interface StoreBreaker {
    isOpen(): boolean;
    /** Records an answer of the store, whatever its content, and closes the breaker. */
    recordAnswer(): void;
    /** @param startedAt monotonic time at which the unanswered call began */
    recordUnanswered(startedAt: number): void;
    /** Resolves with true once the breaker is closed, with false at the deadline (monotonic). */
    waitUntilClosed(deadline: number): Promise<boolean>;
    /** Monotonic time of the next probe. While the breaker is closed, a time that may have passed. */
    nextProbeAt(): number;
}

/** The kind of calls that a breaker protects. */
export enum StoreSide {
    Reads = "reads",
    Writes = "writes",
}

export interface StoreBreakerOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly side: StoreSide;
    /** Makes a cheap call to the store; true if it was answered. */
    readonly probe: (deadline: number) => Promise<boolean>;
    /** Called when the breaker closes, before the waiting calls continue. */
    readonly onClosed: () => void;
    /** Stops the probes. */
    readonly signal?: AbortSignal;
}

/** Number of consecutive unanswered calls before the breaker opens. */
export const unansweredCallsToOpen = 3;
/** Minimum time without an answer before the breaker opens. Covers a restart or a change of primary of the store. */
export const unansweredMillisecondsToOpen = 3_000;
const minProbeWaitMilliseconds = 250;
const maxProbeWaitMilliseconds = 5_000;
/** A late answer to a probe also counts, because a slow store is not down. */
const probeTimeoutMilliseconds = 8_000;
/** The next probe is scheduled after this wait, because the answer to the current one may be lost. */
const probeAnswerWaitMilliseconds = 1_000;

/**
 * Creates a breaker. While it is open, it sends probes at growing intervals with jitter. So processes that wait for the
 * store return one after another, each with a single call.
 */
export function createStoreBreaker(options: StoreBreakerOptions): StoreBreaker {
    const { clock, random, eventLog, side, signal } = options;
    let unansweredCalls = 0;
    let unansweredSince = 0;
    let openedAt: number | undefined;
    let nextProbeAt = Number.NEGATIVE_INFINITY;
    let probing = new AbortController();
    /** One controller for each waiting call: on a shared signal, the listeners of all calls would accumulate. */
    const waiters = new Set<AbortController>();

    const close = () => {
        if (openedAt === undefined) {
            return;
        }
        const silentMilliseconds = Math.round(clock.monotonicNow() - unansweredSince);
        openedAt = undefined;
        eventLog.record(EventKind.StoreAvailable, { side, silentMilliseconds });
        options.onClosed();
        probing.abort();
        waiters.forEach(waiter => waiter.abort());
    };

    const recordAnswer = () => {
        unansweredCalls = 0;
        close();
    };

    const probeOnce = async (ended: AbortSignal) => {
        const answered = options.probe(clock.monotonicNow() + probeTimeoutMilliseconds).then(hasAnswered => {
            if (hasAnswered) {
                recordAnswer();
            }
        });
        await Promise.race([answered, clock.sleepUntil(clock.monotonicNow() + probeAnswerWaitMilliseconds, ended)]);
    };

    const probeUntil = async (ended: AbortSignal) => {
        let wait = minProbeWaitMilliseconds;
        while (!ended.aborted) {
            nextProbeAt = clock.monotonicNow() + jitter(wait, random);
            wait = Math.min(maxProbeWaitMilliseconds, wait * 2);
            await clock.sleepUntil(nextProbeAt, ended);
            if (!ended.aborted) {
                await probeOnce(ended);
            }
        }
    };

    const open = () => {
        openedAt = clock.monotonicNow();
        probing = new AbortController();
        eventLog.record(EventKind.StoreUnavailable, { side, silentCalls: unansweredCalls });
        void probeUntil(signal ? AbortSignal.any([probing.signal, signal]) : probing.signal);
    };

    const recordUnanswered = (startedAt: number) => {
        unansweredSince = unansweredCalls === 0 ? startedAt : Math.min(unansweredSince, startedAt);
        unansweredCalls += 1;
        const silentMilliseconds = clock.monotonicNow() - unansweredSince;
        if (
            openedAt === undefined && unansweredCalls >= unansweredCallsToOpen
            && silentMilliseconds >= unansweredMillisecondsToOpen
        ) {
            open();
        }
    };

    const waitUntilClosed = async (deadline: number) => {
        if (openedAt !== undefined) {
            const waiter = new AbortController();
            waiters.add(waiter);
            await clock.sleepUntil(deadline, waiter.signal);
            waiters.delete(waiter);
        }
        return openedAt === undefined;
    };

    return {
        isOpen: () => openedAt !== undefined,
        recordAnswer,
        recordUnanswered,
        waitUntilClosed,
        nextProbeAt: () => nextProbeAt,
    };
}
