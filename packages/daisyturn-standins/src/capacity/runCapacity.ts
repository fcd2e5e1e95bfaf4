import { mkdirSync, writeFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { drawCapacity } from "./drawCapacity.js";
import { fitPlane, predict } from "./leastSquares.js";
import { type CellCost, type CellSize, measureCell } from "./measureCell.js";

// Measures how the cost of the control plane per entry process grows with nodes and engines, for docs/CAPACITY.md:
// node packages/daisyturn-standins/dist/capacity/runCapacity.js

const flags = await yargs(hideBin(process.argv))
    .option("sizes", { type: "string", default: "3x4,9x4,15x4,3x16,9x16,15x16,3x40,9x40", describe: "nodes x engines" })
    .option("seconds", { type: "number", default: 20 })
    .option("at", { type: "string", default: "9x65", describe: "size to work out from the fit" })
    .option("output", { type: "string", default: "out/capacity" })
    .strict()
    .parse();

/** Figures to which a plane is fitted. */
const quantities = [
    "processorPercent",
    "residentMegabytes",
    "heapMegabytes",
    "peerBytesPerSecond",
    "peerMessagesPerSecond",
    "storeCallsPerSecond",
] as const;

const millisecondsPerSecond = 1000;
const digits = 3;

const costs: CellCost[] = [];
for (const size of flags.sizes.split(",").map(readSize)) {
    const cost = await measureCell(size, flags.seconds * millisecondsPerSecond);
    costs.push(cost);
    printLine(
        `nodes=${size.nodes} engines=${size.engines} ${
            quantities.map(name => `${name}=${format(cost[name])}`).join(" ")
        }`,
    );
}
const target = readSize(flags.at);
for (const name of quantities) {
    const fit = fitPlane(costs.map(cost => ({ inputs: [cost.nodes, cost.engines], output: cost[name] })));
    const [perNode = 0, perEngine = 0] = fit.slopes;
    printLine(
        `${name} = ${format(fit.constant)} + ${format(perNode)} per node + ${format(perEngine)} per engine,`
            + ` error ${format(fit.error)}; at ${flags.at}: ${format(predict(fit, [target.nodes, target.engines]))}`,
    );
}
mkdirSync("out", { recursive: true });
writeFileSync(`${flags.output}.json`, JSON.stringify({ flags, costs }, undefined, 4));
writeFileSync(`${flags.output}.svg`, drawCapacity(costs));

function readSize(text: string): CellSize {
    const [nodes, engines] = text.split("x").map(Number);
    if (!nodes || !engines) {
        throw new Error(`${text} is not a size such as 9x16`);
    }
    return { nodes, engines };
}

function format(value: number): string {
    return String(Number(value.toFixed(digits)));
}

function printLine(line: string): void {
    process.stdout.write(`${line}\n`);
}
