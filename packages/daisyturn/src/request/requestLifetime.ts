import { type Clock, createInterruption, FailureReason, mayHaveRun } from "daisyturn-utils";

/** Lifetime of a request. It ends when the caller disconnects, the process stops or the deadline passes. */
export interface RequestLifetime {
    /** Aborted with a Failure as its reason. */
    readonly signal: AbortSignal;
    /** Stops watching the caller and the deadline. Must be called once, when the request has ended. */
    end(): void;
}

/**
 * Starts the lifetime of a request.
 * @param callerSignal aborted with a Failure once the caller has disconnected or the process stops
 * @param deadline wall-clock time in milliseconds
 */
export function startRequestLifetime(clock: Clock, callerSignal: AbortSignal, deadline: number): RequestLifetime {
    const lifetime = new AbortController();
    const ended = createInterruption();
    const abortWithCaller = () => lifetime.abort(callerSignal.reason);

    const watchDeadline = async () => {
        await clock.sleepUntil(clock.monotonicNow() + deadline - clock.wallNow(), ended.signal);
        if (!ended.signal.aborted) {
            lifetime.abort(
                mayHaveRun(FailureReason.DeadlinePassed, "The deadline has passed before the answer was whole."),
            );
        }
    };

    callerSignal.addEventListener("abort", abortWithCaller, { once: true });
    if (callerSignal.aborted) {
        abortWithCaller();
    }
    void watchDeadline();
    return {
        signal: lifetime.signal,
        end: () => {
            callerSignal.removeEventListener("abort", abortWithCaller);
            ended.interrupt();
        },
    };
}
