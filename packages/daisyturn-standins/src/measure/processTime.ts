import { readFileSync } from "node:fs";

/** Index of the user-mode ticks in `/proc/PID/stat`, counted after the name in brackets; kernel-mode ticks follow. */
const userTicksField = 11;
/** Linux reports processor time in hundredths of a second. */
const ticksPerSecond = 100;

/** Returns the processor seconds that a process has used so far, summed over its threads. Linux only. */
export function readProcessorSeconds(processNumber: number): number {
    const stat = readFileSync(`/proc/${processNumber}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userTicksField]) + Number(fields[userTicksField + 1])) / ticksPerSecond;
}
