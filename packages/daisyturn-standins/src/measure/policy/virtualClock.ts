import { Clock } from "daisyturn-utils";

interface TimedCall {
    readonly at: number;
    readonly order: number;
    readonly call: () => void;
}

/** Promise chains up to this length settle before time advances; no measurement on this clock does real I/O. */
const settleSteps = 12;

/**
 * A virtual clock for measurements that advances from one scheduled call to the next. Unlike the tests' clock it stores
 * its calls in a heap, because a measurement schedules hundreds of thousands of them.
 */
export class VirtualClock extends Clock {
    private readonly heap: TimedCall[] = [];
    private now = 0;
    private planned = 0;

    override monotonicNow(): number {
        return this.now;
    }

    override wallNow(): number {
        return 1_700_000_000_000 + this.now;
    }

    override sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                signal?.removeEventListener("abort", wake);
                resolve();
            };
            signal?.addEventListener("abort", wake);
            this.schedule(Math.max(deadline, this.now), wake);
        });
    }

    /** Schedules a call at a monotonic time. */
    at(time: number, call: () => void): void {
        this.schedule(time, call);
    }

    callLater(milliseconds: number, call: () => void): void {
        this.at(this.now + milliseconds, call);
    }

    /** Runs all calls scheduled up to `end`, including those scheduled meanwhile, and lets their promises settle. */
    async runUntil(end: number): Promise<void> {
        while (this.heap.length > 0 && this.heap[0]!.at <= end) {
            const next = this.pop();
            this.now = Math.max(this.now, next.at);
            next.call();
            await letPromisesSettle();
        }
        this.now = end;
    }

    private schedule(at: number, call: () => void): void {
        this.planned += 1;
        this.heap.push({ at, order: this.planned, call });
        this.rise(this.heap.length - 1);
    }

    private pop(): TimedCall {
        const first = this.heap[0]!;
        const last = this.heap.pop()!;
        if (this.heap.length > 0) {
            this.heap[0] = last;
            this.sink(0);
        }
        return first;
    }

    private rise(index: number): void {
        let place = index;
        while (place > 0) {
            const parent = (place - 1) >> 1;
            if (!isBefore(this.heap[place]!, this.heap[parent]!)) {
                return;
            }
            this.swap(place, parent);
            place = parent;
        }
    }

    private sink(index: number): void {
        let place = index;
        for (;;) {
            const left = 2 * place + 1;
            const right = left + 1;
            let least = place;
            if (left < this.heap.length && isBefore(this.heap[left]!, this.heap[least]!)) {
                least = left;
            }
            if (right < this.heap.length && isBefore(this.heap[right]!, this.heap[least]!)) {
                least = right;
            }
            if (least === place) {
                return;
            }
            this.swap(place, least);
            place = least;
        }
    }

    private swap(one: number, other: number): void {
        [this.heap[one], this.heap[other]] = [this.heap[other]!, this.heap[one]!];
    }
}

function isBefore(one: TimedCall, other: TimedCall): boolean {
    return one.at < other.at || one.at === other.at && one.order < other.order;
}

async function letPromisesSettle(): Promise<void> {
    for (let step = 0; step < settleSteps; step++) {
        await undefined;
    }
}
