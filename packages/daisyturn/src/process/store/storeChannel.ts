import type { Clock, EventLog, Random } from "daisyturn-utils";
import { createAnswerTimeout } from "./answerTimeout.js";
import { type BackOff, createBackOff } from "./backOff.js";
import { createStoreBreaker, type StoreSide } from "./storeBreaker.js";
import { createStoreBudget } from "./storeBudget.js";
import type { StorePriority } from "./storeClient.js";

/** Whether a call may be made now. */
export enum Admission {
    Admitted = "admitted",
    /** The store does not answer. */
    Unavailable = "unavailable",
    /** The deadline came, or the wait was aborted, while the process was at its share of the rate. */
    OutOfTime = "out_of_time",
}

/** What a caller does while the store is unavailable. */
export enum OutageConduct {
    /** Give up at once. */
    Leave = "leave",
    /** Wait for its return until the deadline: an earlier try may have run. */
    Stay = "stay",
}

/** One call to be admitted. */
export interface AdmissionRequest {
    readonly priority: StorePriority;
    /** Monotonic. */
    readonly deadline: number;
    readonly conduct: OutageConduct;
    readonly signal?: AbortSignal;
}

/** One kind of call to the store. */
export interface StoreCall<Answer> {
    send(deadline: number): Promise<Answer>;
    /** Whether the store itself spoke. */
    isAnswer(answer: Answer): boolean;
    /** What a try without an answer is taken for. */
    readonly silence: Answer;
}

/** The reads or the writes of this process: their share of the rate, their time limits and their breaker. */
export interface StoreChannel {
    admit(request: AdmissionRequest): Promise<Admission>;
    /** Makes an admitted call once; without an answer in the usual time it gives up, though the call may go on. */
    attempt<Answer>(call: StoreCall<Answer>, deadline: number): Promise<Answer>;
    /** The waits between the tries of one call. */
    createBackOff(): BackOff;
    isAvailable(): boolean;
    /** Wall-clock time from which a call that was refused makes sense again. */
    retryAt(): number;
    /** Monotonic time of the last answer; undefined before the first. */
    lastAnswerAt(): number | undefined;
}

/** What a channel needs. */
export interface StoreChannelOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly side: StoreSide;
    readonly callsPerSecond: number;
    /** Shortest wait for one answer. */
    readonly tryMilliseconds: number;
    readonly probe: (deadline: number) => Promise<boolean>;
    readonly signal?: AbortSignal;
}

const longestTryMilliseconds = 8_000;
const shortestBackOffMilliseconds = 20;
const longestBackOffMilliseconds = 1_000;
/** A caller that was refused is told to wait this long at least. */
const shortestRetryMilliseconds = 250;
/** A call cut short by its caller's deadline tells of the store only if it waited this long. */
const tellingWaitMilliseconds = 500;

/** Creates a channel. */
export function createStoreChannel(options: StoreChannelOptions): StoreChannel {
    const { clock, random } = options;
    const budget = createStoreBudget(options);
    const breaker = createStoreBreaker({ ...options, onClosed: budget.drain });
    const timeout = createAnswerTimeout({
        shortestMilliseconds: options.tryMilliseconds,
        longestMilliseconds: longestTryMilliseconds,
    });
    let lastAnswerAt: number | undefined;

    const admit = async (request: AdmissionRequest): Promise<Admission> => {
        const { priority, deadline, conduct, signal } = request;
        for (;;) {
            if (breaker.isOpen() && conduct === OutageConduct.Leave) {
                return Admission.Unavailable;
            }
            if (!await breaker.waitUntilClosed(deadline) || !await budget.acquire(priority, deadline, signal)) {
                return Admission.OutOfTime;
            }
            // It may have opened while this call waited for its turn.
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

    const recordSilence = (startedAt: number, callDeadline: number) => {
        const isBroken = clock.monotonicNow() < callDeadline;
        if (isBroken || clock.monotonicNow() - startedAt >= tellingWaitMilliseconds) {
            breaker.recordSilence(startedAt);
        }
    };

    const attempt = async <Answer>(call: StoreCall<Answer>, deadline: number) => {
        const startedAt = clock.monotonicNow();
        const callDeadline = Math.min(deadline, startedAt + longestTryMilliseconds);
        const settled = new AbortController();
        const answered = call.send(callDeadline).then(answer => {
            // Also an answer that comes after its call was tried again tells that the store is there, and how slow.
            if (call.isAnswer(answer)) {
                recordAnswer(startedAt);
            }
            else if (!settled.signal.aborted) {
                recordSilence(startedAt, callDeadline);
            }
            return answer;
        });
        const silent = clock.sleepUntil(startedAt + timeout.current(), settled.signal).then(() => undefined);
        const answer = await Promise.race([answered, silent]);
        const isSilent = answer === undefined;
        settled.abort();
        if (isSilent) {
            recordSilence(startedAt, callDeadline);
        }
        return answer ?? call.silence;
    };

    return {
        admit,
        attempt,
        createBackOff: () =>
            createBackOff({
                clock,
                random,
                shortestMilliseconds: shortestBackOffMilliseconds,
                longestMilliseconds: longestBackOffMilliseconds,
            }),
        isAvailable: () => !breaker.isOpen(),
        retryAt: () =>
            clock.wallNow() + Math.max(shortestRetryMilliseconds, breaker.nextProbeAt() - clock.monotonicNow()),
        lastAnswerAt: () => lastAnswerAt,
    };
}
