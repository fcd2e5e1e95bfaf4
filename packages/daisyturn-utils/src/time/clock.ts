import { onInterrupted, type WaitSignal } from "./interruption.js";

/** Source of time. It is always injected, so that tests control the time. */
export abstract class Clock {
    /** Returns milliseconds on a clock that never jumps and has an arbitrary start. Used for deadlines in a process. */
    abstract monotonicNow(): number;
    /** Returns milliseconds since the epoch. May jump. Use it only for values that leave the process. */
    abstract wallNow(): number;
    /**
     * Resolves when `monotonicNow()` has reached `deadline` or `signal` is aborted.
     * Never rejects; callers check the signal.
     */
    abstract sleepUntil(deadline: number, signal?: WaitSignal): Promise<void>;
}

/** Node.js fires a timer with a longer delay at once. */
const maxTimerMilliseconds = 2_147_483_647;

/** The system's clocks. */
export class SystemClock extends Clock {
    override monotonicNow(): number {
        return performance.now();
    }

    override wallNow(): number {
        return Date.now();
    }

    /** Uses callbacks: an aborted promise timer would create an error with a stack trace, several times per request. */
    override sleepUntil(deadline: number, signal?: WaitSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                stopWaiting?.();
                resolve();
            };
            const remaining = () => Math.max(0, Math.ceil(deadline - this.monotonicNow()));
            const startTimer = () => setTimeout(wakeAtDeadline, Math.min(remaining(), maxTimerMilliseconds));
            // A timer counts whole milliseconds from the start of the event loop's turn, so it can fire too early.
            const wakeAtDeadline = () => {
                if (remaining() > 0) {
                    timer = startTimer();
                }
                else {
                    wake();
                }
            };
            let timer = startTimer();
            const stopWaiting = signal && onInterrupted(signal, wake);
        });
    }
}
