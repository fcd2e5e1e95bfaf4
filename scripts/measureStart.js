// Measures the processor time that a start of Node.js takes until the bundle of the entry process is loaded.
// Usage: node scripts/measureStart.js [FOLDER ...]; folders with bundles, run in turns, target by default.
import { execFileSync } from "node:child_process";
import * as path from "node:path";
import { readNodeOptions } from "./bundle/readNodeOptions.js";

const runs = 25;
const microsecondsPerMillisecond = 1_000;
const nodeOptions = readNodeOptions();
const folders = process.argv.length > 2 ? process.argv.slice(2) : ["target"];

/** Returns the milliseconds of the whole start, and those of loading the bundle. */
function measure(folder) {
    const program = `
        const read = () => process.cpuUsage().user + process.cpuUsage().system;
        const before = read();
        require(${JSON.stringify(path.resolve(folder, "loadBundle.cjs"))}).loadBundle();
        const after = read();
        process.stdout.write(after + " " + (after - before));`;
    const output = execFileSync(process.execPath, [...nodeOptions, "-e", program], { encoding: "utf8" });
    return output.split(" ").map(microseconds => Number(microseconds) / microsecondsPerMillisecond);
}

function describe(values) {
    const sorted = [...values].sort((left, right) => left - right);
    return `lowest ${sorted[0].toFixed(1)}, median ${sorted[Math.floor(sorted.length / 2)].toFixed(1)}`;
}

const measured = new Map(folders.map(folder => [folder, []]));
for (let run = 0; run < runs; run++) {
    folders.forEach(folder => measured.get(folder).push(measure(folder)));
}
for (const [folder, starts] of measured) {
    const total = describe(starts.map(([milliseconds]) => milliseconds));
    const bundle = describe(starts.map(([, milliseconds]) => milliseconds));
    process.stdout.write(`${folder}: whole start, ms: ${total}; bundle, ms: ${bundle}\n`);
}
