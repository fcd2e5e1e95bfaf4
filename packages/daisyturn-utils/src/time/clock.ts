/** Source of time. Passed in everywhere, so that tests decide how time goes by. */
export abstract class Clock {
    /** Milliseconds on a clock that never jumps and starts anywhere. Deadlines inside a process use it. */
    abstract monotonicNow(): number;
    /** Milliseconds since the epoch. Only for what leaves the process; it may jump. */
    abstract wallNow(): number;
    /**
     * Resolves once `monotonicNow()` has reached `deadline`, or as soon as `signal` is aborted.
     * Never rejects: callers look at the signal.
     */
    abstract sleepUntil(deadline: number, signal?: AbortSignal): Promise<void>;
}

/** The machine's own clocks. */
export class SystemClock extends Clock {
    override monotonicNow(): number {
        return performance.now();
    }

    override wallNow(): number {
        return Date.now();
    }

    /** Written with callbacks, since an aborted promise timer builds an error with its stack, several per request. */
    override sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", wake);
                resolve();
            };
            const timer = setTimeout(wake, Math.max(0, deadline - this.monotonicNow()));
            signal?.addEventListener("abort", wake, { once: true });
        });
    }
}
