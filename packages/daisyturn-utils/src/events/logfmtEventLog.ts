import logfmt from "logfmt";
import { type DestinationStream, pino } from "pino";
import type { HybridLogicalClock } from "../time/hybridLogicalClock.js";
import { type EventFields, type EventKind, EventLog } from "./eventLog.js";

export interface EventLogOptions {
    readonly processId: string;
    readonly incarnation: string;
    readonly hybridClock: HybridLogicalClock;
    /** Called with each complete line, including its line feed. */
    readonly writeLine: (line: string) => void;
    readonly level?: string;
}

/** Creates a log that writes one key=value line per event, using pino. */
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

/** Converts pino's JSON lines to key=value lines, with the timestamp and the event first. */
function createLogfmtDestination(writeLine: (line: string) => void): DestinationStream {
    return {
        write: line => {
            const { stamp, event, ...rest } = JSON.parse(line, replaceLineFeeds) as Record<string, string>;
            writeLine(`${logfmt.stringify({ stamp, event, ...rest })}\n`);
        },
    };
}

/** Replaces line feeds, such as those of a stack trace: logfmt retains them, but an event must be a single line. */
function replaceLineFeeds(field: string, value: unknown): unknown {
    return typeof value === "string" ? value.replaceAll(/[\r\n]+/g, " | ") : value;
}
