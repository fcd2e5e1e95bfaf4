import { Clock } from "daisyturn-utils";

interface Sleeper {
    readonly deadline: number;
    readonly wake: () => void;
}

/** A clock that advances to the next deadline whenever all tasks wait. For tests that run many times. */
export class EagerClock extends Clock {
    private now = 0;
    private isScheduled = false;
    private readonly sleepers = new Set<Sleeper>();

    override monotonicNow(): number {
        return this.now;
    }

    override wallNow(): number {
        return this.now;
    }

    override sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
        if (deadline <= this.now || signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const onAbort = () => {
                this.sleepers.delete(sleeper);
                resolve();
            };
            const wake = () => {
                // Prevents listeners from accumulating when a task sleeps repeatedly with the same signal.
                signal?.removeEventListener("abort", onAbort);
                resolve();
            };
            const sleeper: Sleeper = { deadline, wake };
            this.sleepers.add(sleeper);
            signal?.addEventListener("abort", onAbort, { once: true });
            this.scheduleWake();
        });
    }

    /** Wakes the next sleeper after all runnable tasks have run. */
    private scheduleWake(): void {
        if (this.isScheduled || this.sleepers.size === 0) {
            return;
        }
        this.isScheduled = true;
        setImmediate(() => {
            this.isScheduled = false;
            this.wakeNext();
            this.scheduleWake();
        });
    }

    private wakeNext(): void {
        const [first, ...others] = this.sleepers;
        if (first) {
            const next = others.reduce((best, other) => other.deadline < best.deadline ? other : best, first);
            this.sleepers.delete(next);
            this.now = Math.max(this.now, next.deadline);
            next.wake();
        }
    }
}
