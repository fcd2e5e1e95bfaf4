import { createReadStream } from "node:fs";
import { orderEvents } from "./orderEvents.js";
import { readEvents } from "./readEvents.js";
import type { LineProblem, TimedEvent } from "./timedEvent.js";

/** File name that denotes standard input. */
export const standardInputName = "-";

/** Opens logs for merging. If a file can't be opened, the iteration throws an error that contains its path. */
export function openLogs(
    files: readonly string[],
    onProblem: (problem: LineProblem) => void,
): AsyncIterable<TimedEvent>[] {
    return files.map(file => {
        const input = file === standardInputName ? process.stdin : createReadStream(file);
        return orderEvents(readEvents(input, file, onProblem), onProblem);
    });
}
