import { rmSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { createBalancer } from "../fleet/createBalancer.js";
import { createFleetPlan } from "../fleet/createFleetPlan.js";
import { launchFleet } from "../fleet/launchFleet.js";
import { publishFleet } from "../fleet/publishFleet.js";
import { runMixedLoad } from "./runMixedLoad.js";
import { summarizeLoad } from "./summarizeLoad.js";

// Soak test: sends many requests of both partners through three entry processes and compares each answer byte for byte.
// node packages/daisyturn-standins/dist/load/runSoak.js [--requests 10000] [--rate 120] [--seed 1]

const flags = await yargs(hideBin(process.argv))
    .option("requests", { type: "number", default: 10_000 })
    .option("rate", { type: "number", default: 120, describe: "requests a second" })
    .option("seed", { type: "number", default: 1 })
    .strict()
    .parse();

const plan = createFleetPlan();
const fleet = await launchFleet(plan);
const balancer = createBalancer(fleet);
try {
    await publishFleet(fleet, plan);
    await balancer.waitForReady(plan.entryCount);
    const records = await runMixedLoad({
        seed: flags.seed,
        requestCount: flags.requests,
        requestsPerSecond: flags.rate,
        entryUrls: balancer.readyUrls,
    });
    const summary = await summarizeLoad(fleet, flags.requests, records);
    process.stdout.write(`${Object.entries(summary).map(([name, count]) => `${name}=${count}`).join(" ")}\n`);
    process.exitCode = summary.wrong + summary.doubled + summary.lost + summary.falselyRefused > 0 ? 1 : 0;
}
finally {
    await balancer.stop();
    await fleet.stop();
    rmSync(fleet.folder, { recursive: true });
}
