import logfmt from "logfmt";
import { Result } from "true-myth/result";
import type { TimedEvent } from "./timedEvent.js";

const stampPattern = /^(\d{14})-\d{6,}$/;

/** Log collectors prepend the host name and their own time to each line. */
const prefixPattern = /^.*?(?=\bstamp=)/;

/** Parses one log line. The error names the missing field. */
export function parseEventLine(line: string, source: string, lineNumber: number): Result<TimedEvent, string> {
    const { stamp, event, process, incarnation, level, ...rest } = logfmt.parse(
        line.replace(prefixPattern, ""),
    ) as Record<string, unknown>;
    const match = typeof stamp === "string" ? stampPattern.exec(stamp) : undefined;
    if (!match || typeof stamp !== "string") {
        return Result.err("no stamp");
    }
    if (typeof event !== "string" || typeof process !== "string") {
        return Result.err("no event or no process");
    }
    const fields = Object.fromEntries(Object.entries(rest).map(([name, value]) => [name, String(value)]));
    return Result.ok({
        stamp,
        at: Number(match[1]),
        kind: event,
        process,
        incarnation: String(incarnation ?? ""),
        fields: level === "info" || level === undefined ? fields : { level: String(level), ...fields },
        source,
        line: lineNumber,
    });
}
