import type { Clock } from "daisyturn-utils";

/** Why this process aborted an operation. */
export enum AbortReason {
    Cancelled = "cancelled",
    DeadlinePassed = "deadline_passed",
    /** The target sent no data within the silence limit. */
    Silent = "silent",
}

/** One exchange with a target, from the first connection attempt to the last byte of the answer. */
export interface Operation {
    /** Aborted when the operation is stopped, for any cause. */
    readonly signal: AbortSignal;
    /** The first cause for which the operation was stopped; undefined if it was not stopped. */
    cause(): AbortReason | undefined;
    stop(cause: AbortReason): void;
    /** Records that the target sent data, which restarts the silence limit. */
    recordActivity(): void;
    /** Stops the timers. The signal does not change any more. */
    end(): void;
}

/** Limits of an operation. Deadlines are monotonic times. */
export interface OperationOptions {
    readonly clock: Clock;
    readonly deadline: number;
    readonly signal?: AbortSignal;
    /** Maximum time without data from the target; unlimited if absent. */
    readonly silenceLimitMilliseconds?: number;
}

/** Passed to `abort`, which would otherwise create an error with a stack trace. */
const endedReason = "ended";

/** Starts the timers of one operation. */
export function createOperation(options: OperationOptions): Operation {
    const { clock, deadline } = options;
    const stopper = new AbortController();
    const timers = new AbortController();
    let abortReason: AbortReason | undefined;
    let lastActivityAt = clock.monotonicNow();

    const stop = (cause: AbortReason) => {
        if (abortReason === undefined && !timers.signal.aborted) {
            abortReason = cause;
            stopper.abort(new Error(cause));
        }
    };
    const onCallerAbort = () => stop(AbortReason.Cancelled);

    const watchDeadline = async () => {
        await clock.sleepUntil(deadline, timers.signal);
        stop(AbortReason.DeadlinePassed);
    };
    const watchSilence = async (limit: number) => {
        while (!timers.signal.aborted && clock.monotonicNow() < lastActivityAt + limit) {
            await clock.sleepUntil(lastActivityAt + limit, timers.signal);
        }
        stop(AbortReason.Silent);
    };

    if (options.signal?.aborted) {
        onCallerAbort();
    }
    options.signal?.addEventListener("abort", onCallerAbort, { once: true });
    void watchDeadline();
    if (options.silenceLimitMilliseconds !== undefined) {
        void watchSilence(options.silenceLimitMilliseconds);
    }

    return {
        signal: stopper.signal,
        cause: () => abortReason,
        stop,
        recordActivity: () => {
            lastActivityAt = clock.monotonicNow();
        },
        end: () => {
            options.signal?.removeEventListener("abort", onCallerAbort);
            timers.abort(endedReason);
        },
    };
}
