import type { Clock } from "../time/clock.js";
import { type EventFields, EventKind, EventLog } from "./eventLog.js";

/** How much a bounded log may write. */
export interface EventLogBounds {
    /** Lines a second, on average. */
    readonly linesPerSecond: number;
    /** Lines that may come at once after a quiet time. */
    readonly burst: number;
    /** Lines of the burst that are kept for events that name no request: what the process believes comes first. */
    readonly reserved: number;
}

/** A line costs some tens of microseconds, so a flood of failures stays below a hundredth of a core. */
export const defaultEventLogBounds: EventLogBounds = { linesPerSecond: 60, burst: 240, reserved: 80 };

const millisecondsPerSecond = 1_000;

/** Creates a log that passes on at most so many lines; what it drops it counts, and tells once a second. */
export function createBoundedEventLog(
    inner: EventLog,
    clock: Clock,
    bounds: EventLogBounds = defaultEventLogBounds,
): EventLog {
    let tokens = bounds.burst;
    let filledAt = clock.monotonicNow();
    let dropped = 0;
    let reportedAt = -Infinity;

    const fill = () => {
        const now = clock.monotonicNow();
        const earned = (now - filledAt) / millisecondsPerSecond * bounds.linesPerSecond;
        tokens = Math.min(bounds.burst, tokens + earned);
        filledAt = now;
    };

    const reportDropped = () => {
        if (dropped > 0 && clock.monotonicNow() - reportedAt >= millisecondsPerSecond) {
            reportedAt = clock.monotonicNow();
            inner.record(EventKind.LogLinesDropped, { lines: dropped });
            dropped = 0;
        }
    };

    class BoundedEventLog extends EventLog {
        override record(kind: EventKind, fields: EventFields = {}): void {
            fill();
            const floor = fields.request === undefined ? 0 : bounds.reserved;
            if (tokens - 1 < floor) {
                dropped += 1;
                return;
            }
            tokens -= 1;
            reportDropped();
            inner.record(kind, fields);
        }
    }
    return new BoundedEventLog();
}
