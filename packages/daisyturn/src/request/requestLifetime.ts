import { type Clock, FailureReason, mayHaveRun } from "daisyturn-utils";

/** The time a request has: ends with the caller, the process or the deadline, whichever comes first. */
export interface RequestLifetime {
    /** Aborted with a Failure as its reason. */
    readonly signal: AbortSignal;
    /** Stops the watch; to be called once when the request has ended. */
    end(): void;
}

/** Given to `abort`, which else builds an error with its stack. */
const endedReason = "ended";

/**
 * Starts the life of a request.
 * @param callerSignal aborted with a Failure once the caller has gone or the process stops
 * @param deadline wall-clock time in milliseconds
 */
export function startRequestLifetime(clock: Clock, callerSignal: AbortSignal, deadline: number): RequestLifetime {
    const lifetime = new AbortController();
    const ended = new AbortController();
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
            ended.abort(endedReason);
        },
    };
}
