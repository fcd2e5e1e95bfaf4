import type { Clock } from "daisyturn-utils";

/** Why an operation was stopped from this side. */
export enum AbortReason {
    Cancelled = "cancelled",
    DeadlinePassed = "deadline_passed",
    /** Nothing was heard from the target for too long. */
    Silent = "silent",
}

/** One exchange with a target, from the first attempt to connect to the last byte of the answer. */
export interface Operation {
    /** Aborted once the operation is stopped, for whatever cause. */
    readonly signal: AbortSignal;
    /** The first cause; undefined while it runs. */
    cause(): AbortReason | undefined;
    stop(cause: AbortReason): void;
    /** Notes that the target was heard. */
    recordActivity(): void;
    /** Ends the timers; the signal stays as it is. */
    end(): void;
}

/** What limits an operation. Deadlines are monotonic times. */
export interface OperationOptions {
    readonly clock: Clock;
    readonly deadline: number;
    readonly signal?: AbortSignal;
    /** Longest silence of the target; absent: only the deadline counts. */
    readonly silenceLimitMilliseconds?: number;
}

/** Given to `abort`, which else builds an error with its stack. */
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
