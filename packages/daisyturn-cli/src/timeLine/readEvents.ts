import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { parseEventLine } from "./parseEventLine.js";
import type { LineProblem, TimedEvent } from "./timedEvent.js";

/** Reads events line by line; what can't be read is told to `onBroken` and passed over. */
export async function* readEvents(
    input: Readable,
    source: string,
    onBroken: (broken: LineProblem) => void,
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
            onBroken({ source, line, problem: parsed.error });
        }
    }
}
