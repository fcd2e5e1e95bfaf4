import logfmt from "logfmt";
import { type DestinationStream, pino } from "pino";
import type { HybridLogicalClock } from "../time/hybridLogicalClock.js";
import { type EventFields, type EventKind, EventLog } from "./eventLog.js";

/** What stands on every line of one process's log. */
export interface EventLogOptions {
    readonly processId: string;
    readonly incarnation: string;
    readonly hybridClock: HybridLogicalClock;
    /** Takes finished lines, each ended by a line feed. */
    readonly writeLine: (line: string) => void;
    readonly level?: string;
}

/** Creates a log that writes one key=value line per event through pino. */
export function createLogfmtEventLog(options: EventLogOptions): EventLog {
    const logger = pino({
        level: options.level ?? "info",
        base: { process: options.processId, incarnation: options.incarnation },
        timestamp: () => `,"stamp":"${options.hybridClock.stamp()}"`,
        formatters: { level: label => ({ level: label }) },
        messageKey: "event",
    }, createLogfmtDestination(options.writeLine));

    class LogfmtEventLog extends EventLog {
        override record(kind: EventKind, fields: EventFields = {}): void {
            logger.info(fields, kind);
        }
    }
    return new LogfmtEventLog();
}

/** pino writes JSON; this puts each line into key=value form with the stamp and the event first. */
function createLogfmtDestination(writeLine: (line: string) => void): DestinationStream {
    return {
        write: line => {
            const { stamp, event, ...rest } = JSON.parse(line, replaceLineFeeds) as Record<string, string>;
            writeLine(`${logfmt.stringify({ stamp, event, ...rest })}\n`);
        },
    };
}

/** logfmt leaves line feeds as they are, such as those of a stack trace, and an event must stay on one line. */
function replaceLineFeeds(field: string, value: unknown): unknown {
    return typeof value === "string" ? value.replaceAll(/[\r\n]+/g, " | ") : value;
}
