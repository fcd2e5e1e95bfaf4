import logfmt from "logfmt";
import { Result } from "true-myth/result";
import type { TimedEvent } from "./timedEvent.js";

const stampPattern = /^(\d{14})-\d{6,}$/;

/** Collectors of many logs put the name of the machine and a time of their own before each line. */
const prefixPattern = /^.*?(?=\bstamp=)/;

/** Reads one log line. The error says what is missing. */
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
