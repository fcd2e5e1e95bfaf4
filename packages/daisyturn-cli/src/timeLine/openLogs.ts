import { createReadStream } from "node:fs";
import { orderEvents } from "./orderEvents.js";
import { readEvents } from "./readEvents.js";
import type { LineProblem, TimedEvent } from "./timedEvent.js";

/** Name that stands for standard input. */
export const standardInputName = "-";

/** Opens logs for merging. A file that can't be opened makes the reading throw with its name. */
export function openLogs(
    files: readonly string[],
    onBroken: (broken: LineProblem) => void,
): AsyncIterable<TimedEvent>[] {
    return files.map(file => {
        const input = file === standardInputName ? process.stdin : createReadStream(file);
        return orderEvents(readEvents(input, file, onBroken), onBroken);
    });
}
