import { mkdirSync, writeFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { PartnerName } from "../fleet/partnerConfiguration.js";
import { computeEngineSeconds, createBenchFleetPlan } from "./benchFleet.js";
import { answerHeavyMix, createAlternatingPhases, createTrace, promptHeavyMix } from "./createTrace.js";
import { computeGoodput, type GoodputFigures } from "./goodput.js";
import { PolicyName } from "./policyName.js";
import { runTrace, type TraceResult } from "./runTrace.js";

// Compares the goodput of the policies on the same seeded traces:
// node packages/daisyturn-standins/dist/bench/runBench.js --help

/** Figures of one run, as written to the output file. */
interface BenchRow {
    readonly policy: PolicyName;
    readonly load: number;
    readonly seed: number;
    readonly roles: string;
    readonly roleChanges: number;
    readonly all: GoodputFigures;
    readonly byPartner: Readonly<Record<PartnerName, GoodputFigures>>;
}

const millisecondsPerSecond = 1000;

const flags = await yargs(hideBin(process.argv))
    .option("policies", { type: "string", default: Object.values(PolicyName).join(",") })
    .option("loads", { type: "string", default: "0.6,0.9,1.2" })
    .option("seeds", { type: "string", default: "1,2,3,4,5" })
    .option("seconds", { type: "number", default: 60, describe: "simulated seconds of one trace" })
    .option("swing", { type: "number", default: 20, describe: "simulated seconds of one mix" })
    .option("speed", { type: "number", default: 2 })
    .option("prefill", { type: "number", default: 3, describe: "engines that start as prefill engines" })
    .option("decode", { type: "number", default: 3 })
    .option("mixed", { type: "number", default: 0 })
    .option("entries", { type: "number", default: 3 })
    .option("capacity", { type: "number", default: 1, describe: "share of the engines' time that load 1 offers" })
    .option("keep-logs", { type: "boolean", default: false })
    .option("output", { type: "string", default: "out/bench.json" })
    .strict()
    .parse();

const rows: BenchRow[] = [];
for (const seed of readNumbers(flags.seeds)) {
    for (const load of readNumbers(flags.loads)) {
        for (const policy of flags.policies.split(",") as PolicyName[]) {
            const row = await measure(policy, load, seed);
            rows.push(row);
            process.stdout.write(`${formatRow(row)}\n`);
        }
    }
}
mkdirSync("out", { recursive: true });
writeFileSync(flags.output, JSON.stringify({ flags, rows }, undefined, 4));

async function measure(policy: PolicyName, load: number, seed: number): Promise<BenchRow> {
    const engineCount = flags.prefill + flags.decode + flags.mixed;
    const endsAt = flags.seconds * millisecondsPerSecond;
    const trace = createTrace({
        seed,
        endsAt,
        phases: createAlternatingPhases(endsAt, flags.swing * millisecondsPerSecond, [promptHeavyMix, answerHeavyMix]),
        offeredEngines: load * flags.capacity * engineCount,
        engineSeconds: computeEngineSeconds,
    });
    const plan = createBenchFleetPlan({
        policy,
        speed: flags.speed,
        prefillEngines: flags.prefill,
        decodeEngines: flags.decode,
        mixedEngines: flags.mixed,
        entryCount: flags.entries,
    });
    const result = await runTrace({ plan, trace, speed: flags.speed, seed, keepLogs: flags.keepLogs });
    return createRow(policy, load, seed, result, endsAt);
}

function createRow(
    policy: PolicyName,
    load: number,
    seed: number,
    { measured, roleChanges }: TraceResult,
    endsAt: number,
): BenchRow {
    return {
        policy,
        load,
        seed,
        roles: `${flags.prefill}/${flags.decode}/${flags.mixed}`,
        roleChanges,
        all: computeGoodput(measured, endsAt),
        byPartner: {
            [PartnerName.Nyamata]: computeGoodput(measured, endsAt, PartnerName.Nyamata),
            [PartnerName.Jizdenka]: computeGoodput(measured, endsAt, PartnerName.Jizdenka),
        },
    };
}

function formatRow(row: BenchRow): string {
    const { all } = row;
    const partners = Object.values(row.byPartner).map(figures => figures.goodput.toFixed(1)).join("+");
    return [
        `policy=${row.policy} load=${row.load} seed=${row.seed} role-changes=${row.roleChanges} offered=${all.offered} good=${all.good}`,
        `goodput=${all.goodput.toFixed(1)} (${partners}) refused=${all.refused} late=${all.late} wrong=${all.wrong}`,
        `unanswered=${all.unanswered} first-token-median=${all.firstTokenMedian.toFixed(0)}`,
        `first-token-95=${all.firstToken95.toFixed(0)} between-95=${all.betweenTokens95.toFixed(0)}`,
    ].join(" ");
}

function readNumbers(text: string): number[] {
    return text.split(",").map(Number);
}
