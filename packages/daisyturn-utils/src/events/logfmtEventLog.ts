import logfmt from "logfmt";
import type { HybridLogicalClock } from "../time/hybridLogicalClock.js";
import { type EventFields, type EventKind, EventLog } from "./eventLog.js";

export interface EventLogOptions {
    /** Read for each line. */
    readonly processId: string;
    readonly incarnation: string;
    readonly hybridClock: HybridLogicalClock;
    /** Called with each complete line, including its line feed. */
    readonly writeLine: (line: string) => void;
}

const level = "info";

/** Creates a log that writes one key=value line per event, with the timestamp and the event first. */
export function createLogfmtEventLog(options: EventLogOptions): EventLog {
    const { incarnation, hybridClock, writeLine } = options;

    class LogfmtEventLog extends EventLog {
        override record(kind: EventKind, fields: EventFields = {}): void {
            const stamp = hybridClock.stamp();
            const line: Record<string, unknown> = {
                stamp,
                event: kind,
                level,
                process: options.processId,
                incarnation,
            };
            for (const [name, value] of Object.entries(fields)) {
                if (value !== undefined && name !== "event") {
                    line[name] = formatValue(value);
                }
            }
            writeLine(`${logfmt.stringify(line)}\n`);
        }
    }
    return new LogfmtEventLog();
}

/**
 * Replaces line feeds, such as those of a stack trace: logfmt retains them, but an event must be a single line. A number
 * that is not finite has no value.
 */
function formatValue(value: string | number | boolean): string | number | boolean | undefined {
    if (typeof value === "string") {
        return value.replaceAll(/[\r\n]+/g, " | ");
    }
    return typeof value === "number" && !Number.isFinite(value) ? undefined : value;
}
