import type { Clock } from "../time/clock.js";
import { type EventFields, EventKind, EventLog } from "./eventLog.js";

/** Rate limits of a bounded log. */
export interface EventLogBounds {
    /** Average number of lines per second. */
    readonly linesPerSecond: number;
    /** Maximum number of lines that may be written at once after an idle period. */
    readonly burst: number;
    /** Part of the burst reserved for events without a request, since those on the process's state take precedence. */
    readonly reserved: number;
}

/** A line costs some tens of microseconds, so many failures at once use less than a hundredth of a core. */
export const defaultEventLogBounds: EventLogBounds = { linesPerSecond: 60, burst: 240, reserved: 80 };

const millisecondsPerSecond = 1_000;

/** Creates a log that limits the lines written to `inner` and reports dropped lines at most once a second. */
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
