import type { CacheEvent, CacheEventPage } from "daisyturn";
import type { Random } from "daisyturn-utils";
import type { CacheChange } from "./prefixCache.js";

/** Events retained for readers. A reader that is further behind sees a gap in the sequence. */
const maxRetainedEvents = 4_096;

interface DatedEvent {
    readonly visibleAt: number;
    readonly event: CacheEvent;
}

/** Changes of a prefix cache, published with a delay and with losses. Times are simulated. */
export interface CacheEventLog {
    append(change: CacheChange, now: number): void;
    readAfter(cursor: number, now: number): CacheEventPage;
}

/** Options of the cache event log. */
export interface CacheEventLogOptions {
    readonly incarnation: string;
    readonly random: Random;
    readonly delayMilliseconds: number;
    /** Fraction of the events that is lost. */
    readonly loss: number;
}

/** Creates an empty log for one incarnation. */
export function createCacheEventLog(options: CacheEventLogOptions): CacheEventLog {
    let sequence = 0;
    let events: DatedEvent[] = [];

    const append = (change: CacheChange, now: number) => {
        if (change.stored.length === 0 && change.evicted.length === 0) {
            return;
        }
        sequence += 1;
        if (options.random.fraction() < options.loss) {
            return;
        }
        events.push({ visibleAt: now + options.delayMilliseconds, event: { sequence, ...change } });
        if (events.length > 2 * maxRetainedEvents) {
            events = events.slice(-maxRetainedEvents);
        }
    };

    const readAfter = (cursor: number, now: number): CacheEventPage => {
        const visible = events
            .filter(({ visibleAt, event }) => visibleAt <= now && event.sequence > cursor)
            .map(({ event }) => event);
        return { incarnation: options.incarnation, events: visible, cursor: visible.at(-1)?.sequence ?? cursor };
    };

    return { append, readAfter };
}
