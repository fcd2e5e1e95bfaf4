import { type EventFields, EventKind, EventLog } from "daisyturn-utils";
import type { StatsD } from "hot-shots";

/** The used methods of a metrics client. */
export type MetricsClient = Pick<StatsD, "increment" | "timing" | "gauge">;

/** Fields that become tags. Each has few values, so that the number of series stays bounded. */
const tagFields = ["partner", "reason", "verdict"] as const;

/**
 * Counts every event that is logged, so that logs and metrics agree. It reports a counter `events.<kind>` with the
 * partner, reason and verdict as tags, and the time to the first token in milliseconds.
 */
export function createMeteredEventLog(inner: EventLog, metrics: MetricsClient): EventLog {
    class MeteredEventLog extends EventLog {
        override record(kind: EventKind, fields: EventFields = {}): void {
            inner.record(kind, fields);
            metrics.increment(`events.${kind}`, 1, chooseTags(kind, fields));
            if (kind === EventKind.RequestFirstToken && typeof fields["afterMilliseconds"] === "number") {
                metrics.timing("request.first_token", fields["afterMilliseconds"]);
            }
        }
    }
    return new MeteredEventLog();
}

/** A fault's reason is free text and must not become a tag. */
function chooseTags(kind: EventKind, fields: EventFields): Record<string, string> {
    const names = tagFields.filter(name => fields[name] !== undefined);
    const allowed = kind === EventKind.Fault ? names.filter(name => name !== "reason") : names;
    return Object.fromEntries(allowed.map(name => [name, String(fields[name])]));
}
