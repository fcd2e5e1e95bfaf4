import type { TimedEvent } from "./timedEvent.js";

interface Head {
    readonly event: TimedEvent;
    readonly rest: AsyncIterator<TimedEvent>;
}

/**
 * Merges logs into one causal order by their stamps. Each log must already be in order, so only one event of each log
 * is in memory at a time. Events with equal stamps are sorted by the name of the process.
 */
export async function* mergeEvents(logs: readonly AsyncIterable<TimedEvent>[]): AsyncGenerator<TimedEvent> {
    const heads: Head[] = [];
    const advance = async (rest: AsyncIterator<TimedEvent>) => {
        const next = await rest.next();
        if (!next.done) {
            heads.push({ event: next.value, rest });
        }
    };
    await Promise.all(logs.map(log => advance(log[Symbol.asyncIterator]())));
    while (heads.length > 0) {
        const first = heads.reduce((best, head) => comesBefore(head.event, best.event) ? head : best);
        heads.splice(heads.indexOf(first), 1);
        yield first.event;
        await advance(first.rest);
    }
}

function comesBefore(left: TimedEvent, right: TimedEvent): boolean {
    return left.stamp === right.stamp ? left.process < right.process : left.stamp < right.stamp;
}
