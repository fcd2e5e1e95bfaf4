import { setImmediate as nextTurn } from "node:timers/promises";
import { Clock } from "./clock.js";
import type { WaitSignal } from "./interruption.js";

interface Sleeper {
    readonly deadline: number;
    readonly wake: () => void;
}

/** Turns of the event loop after each step, so that resumed tasks reach their next wait. */
const turnsPerStep = 8;

/** A clock that only advances when a test advances it. */
export class FakeClock extends Clock {
    private now = 0;
    private wallOffset = 1_700_000_000_000;
    private sleepers: Sleeper[] = [];

    override monotonicNow(): number {
        return this.now;
    }

    override wallNow(): number {
        return this.wallOffset + this.now;
    }

    override sleepUntil(deadline: number, signal?: WaitSignal): Promise<void> {
        if (deadline <= this.now || signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const onAbort = () => {
                this.sleepers = this.sleepers.filter(other => other !== sleeper);
                resolve();
            };
            const wake = () => {
                // Prevents listeners from accumulating when a task sleeps repeatedly with the same signal.
                signal?.removeEventListener("abort", onAbort);
                resolve();
            };
            const sleeper: Sleeper = { deadline, wake };
            this.sleepers.push(sleeper);
            signal?.addEventListener("abort", onAbort, { once: true });
        });
    }

    /** Makes the wall clock jump. The monotonic clock does not change. */
    jumpWall(milliseconds: number): void {
        this.wallOffset += milliseconds;
    }

    /** Advances both clocks, waking sleepers in the order of their deadlines and letting each run. */
    async advance(milliseconds: number): Promise<void> {
        const end = this.now + milliseconds;
        await settleTasks();
        for (;;) {
            const next = this.removeNextSleeper(end);
            if (!next) {
                break;
            }
            this.now = Math.max(this.now, next.deadline);
            next.wake();
            await settleTasks();
        }
        this.now = end;
        await settleTasks();
    }

    private removeNextSleeper(end: number): Sleeper | undefined {
        const due = this.sleepers.filter(sleeper => sleeper.deadline <= end);
        const next = due.reduce<Sleeper | undefined>(
            (best, sleeper) => best && best.deadline <= sleeper.deadline ? best : sleeper,
            undefined,
        );
        this.sleepers = this.sleepers.filter(sleeper => sleeper !== next);
        return next;
    }
}

async function settleTasks(): Promise<void> {
    for (let turn = 0; turn < turnsPerStep; turn++) {
        await nextTurn();
    }
}
