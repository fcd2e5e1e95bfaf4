import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { parseEventLine } from "./parseEventLine.js";
import type { LineProblem, TimedEvent } from "./timedEvent.js";

/** Reads events line by line; lines that can't be parsed are reported to `onProblem` and skipped. */
export async function* readEvents(
    input: Readable,
    source: string,
    onProblem: (problem: LineProblem) => void,
): AsyncGenerator<TimedEvent> {
    let line = 0;
    for await (const text of createInterface({ input, crlfDelay: Infinity })) {
        line += 1;
        if (text.trim() === "") {
            continue;
        }
        const parsed = parseEventLine(text, source, line);
        if (parsed.isOk) {
            yield parsed.value;
        }
        else {
            onProblem({ source, line, problem: parsed.error });
        }
    }
}
