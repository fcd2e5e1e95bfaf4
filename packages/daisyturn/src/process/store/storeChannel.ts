import { type Clock, createInterruption, type EventLog, type Random } from "daisyturn-utils";
import { createAnswerTimeout } from "./answerTimeout.js";
import { type BackOff, createBackOff } from "./backOff.js";
import { createStoreBreaker, type StoreSide } from "./storeBreaker.js";
import { createStoreBudget } from "./storeBudget.js";
import type { StorePriority } from "./storeClient.js";

/** Whether a call may be made now. */
export enum Admission {
    Admitted = "admitted",
    /** The breaker is open: the store does not answer. */
    Unavailable = "unavailable",
    /** The deadline was reached, or the wait was aborted, while the call waited for its share of the rate. */
    OutOfTime = "out_of_time",
}

/** What a call does while the store is unavailable. */
export enum OutagePolicy {
    /** Fail immediately. */
    FailFast = "leave",
    /** Wait until the store answers again or the deadline is reached, because an earlier attempt may have committed. */
    Wait = "stay",
}

/** Request for the admission of one call. */
export interface AdmissionRequest {
    readonly priority: StorePriority;
    /** Monotonic. */
    readonly deadline: number;
    readonly outagePolicy: OutagePolicy;
    readonly signal?: AbortSignal;
}

/** One kind of call to the store. */
export interface StoreCall<Answer> {
    send(deadline: number): Promise<Answer>;
    /** Whether the answer comes from the store itself. */
    isAnswer(answer: Answer): boolean;
    /** The result of an attempt that was not answered. */
    readonly unanswered: Answer;
}

/** The reads or the writes of this process, with their own rate, timeouts and breaker. */
export interface StoreChannel {
    admit(request: AdmissionRequest): Promise<Admission>;
    /** Makes an admitted call once. Stops waiting at the adaptive timeout, although the call may still be running. */
    attempt<Answer>(call: StoreCall<Answer>, deadline: number): Promise<Answer>;
    /** Creates the back-off between the attempts of one call. */
    createBackOff(): BackOff;
    isAvailable(): boolean;
    /** Wall-clock time from which a rejected call may be retried. */
    retryAt(): number;
    /** Monotonic time of the last answer; undefined before the first. */
    lastAnswerAt(): number | undefined;
}

export interface StoreChannelOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly side: StoreSide;
    readonly callsPerSecond: number;
    /** Minimum wait for an answer. */
    readonly tryMilliseconds: number;
    readonly probe: (deadline: number) => Promise<boolean>;
    readonly signal?: AbortSignal;
}

const maxTryMilliseconds = 8_000;
const minBackOffMilliseconds = 20;
const maxBackOffMilliseconds = 1_000;
/** A rejected caller is asked to wait at least this long before it retries. */
const minRetryMilliseconds = 250;
/** A call that ended at its caller's deadline counts as unanswered by the store only if it waited this long. */
const minConclusiveWaitMilliseconds = 500;

export function createStoreChannel(options: StoreChannelOptions): StoreChannel {
    const { clock, random } = options;
    const budget = createStoreBudget(options);
    const breaker = createStoreBreaker({ ...options, onClosed: budget.drain });
    const timeout = createAnswerTimeout({
        minMilliseconds: options.tryMilliseconds,
        maxMilliseconds: maxTryMilliseconds,
    });
    let lastAnswerAt: number | undefined;

    const admit = async (request: AdmissionRequest): Promise<Admission> => {
        const { priority, deadline, outagePolicy, signal } = request;
        for (;;) {
            if (breaker.isOpen() && outagePolicy === OutagePolicy.FailFast) {
                return Admission.Unavailable;
            }
            if (!await breaker.waitUntilClosed(deadline) || !await budget.acquire(priority, deadline, signal)) {
                return Admission.OutOfTime;
            }
            // The breaker may have opened while this call waited for its token.
            if (!breaker.isOpen()) {
                return Admission.Admitted;
            }
        }
    };

    const recordAnswer = (startedAt: number) => {
        lastAnswerAt = clock.monotonicNow();
        timeout.recordAnswer(lastAnswerAt - startedAt);
        breaker.recordAnswer();
    };

    const recordUnanswered = (startedAt: number, callDeadline: number) => {
        const hasFailedEarly = clock.monotonicNow() < callDeadline;
        if (hasFailedEarly || clock.monotonicNow() - startedAt >= minConclusiveWaitMilliseconds) {
            breaker.recordUnanswered(startedAt);
        }
    };

    const attempt = async <Answer>(call: StoreCall<Answer>, deadline: number) => {
        const startedAt = clock.monotonicNow();
        const callDeadline = Math.min(deadline, startedAt + maxTryMilliseconds);
        const settled = createInterruption();
        const answered = call.send(callDeadline).then(answer => {
            // A late answer, received after its call was tried again, still shows that the store is up, and how slow.
            if (call.isAnswer(answer)) {
                recordAnswer(startedAt);
            }
            else if (!settled.signal.aborted) {
                recordUnanswered(startedAt, callDeadline);
            }
            return answer;
        });
        const timedOut = clock.sleepUntil(startedAt + timeout.current(), settled.signal).then(() => undefined);
        const answer = await Promise.race([answered, timedOut]);
        const isUnanswered = answer === undefined;
        settled.interrupt();
        if (isUnanswered) {
            recordUnanswered(startedAt, callDeadline);
        }
        return answer ?? call.unanswered;
    };

    return {
        admit,
        attempt,
        createBackOff: () =>
            createBackOff({
                clock,
                random,
                minMilliseconds: minBackOffMilliseconds,
                maxMilliseconds: maxBackOffMilliseconds,
            }),
        isAvailable: () => !breaker.isOpen(),
        retryAt: () => clock.wallNow() + Math.max(minRetryMilliseconds, breaker.nextProbeAt() - clock.monotonicNow()),
        lastAnswerAt: () => lastAnswerAt,
    };
}
