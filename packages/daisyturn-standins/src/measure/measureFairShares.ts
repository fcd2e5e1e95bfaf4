import { computeGoodFraction, createCalmSource, createFlood, engineCount, runShared } from "./policy/fairShareCases.js";
import { percentileOf, type SourceResult, type TrialSource } from "./policy/policyTrial.js";
import { formatSummary, summarise } from "./summarise.js";

/**
 * Measures how one partner's flood affects another partner: the goodput of a calm partner alone and beside a flood of
 * twice what the engines can serve, for loads below and above its share, through all entry processes and through one.
 * Run it with `node packages/daisyturn-standins/dist/measure/measureFairShares.js`.
 */
const seeds = [1, 2, 3, 4, 5];
const calmRates = [16, 40];
const processCounts = [3, 9];

async function measure(sources: readonly TrialSource[], processes: number, engines: number): Promise<SourceResult[]> {
    const results: SourceResult[] = [];
    for (const seed of seeds) {
        const trial = await runShared(sources, { seed, processes, engines });
        results.push(trial.sources[0]!);
    }
    return results;
}

function describe(name: string, results: readonly SourceResult[]): string {
    const parts = formatSummary(summarise(results.map(computeGoodFraction)), 3);
    const firstTokens = results.flatMap(result => result.firstTokens);
    const times = [0.5, 0.99].map(fraction => percentileOf(firstTokens, fraction).toFixed(0)).join(" / ");
    return `  ${name}: good ${parts} of its requests, first token ${times} ms (50th / 99th)`;
}

for (const processes of processCounts) {
    for (const rate of calmRates) {
        // The baseline: half of the engines where its load would use all of them.
        const share = rate > 20 ? engineCount / 2 : engineCount;
        console.log(`${processes} processes, calm partner at ${rate} requests a second`);
        const one = { processes: [0] };
        console.log(describe("its share alone", await measure([createCalmSource(rate)], processes, share)));
        const all = [createCalmSource(rate), createFlood()];
        console.log(describe("beside the flood", await measure(all, processes, engineCount)));
        const throughOne = [createCalmSource(rate, one), createFlood()];
        console.log(describe("through one process", await measure(throughOne, processes, engineCount)));
        const floodThroughOne = [createCalmSource(rate), createFlood(one)];
        console.log(describe("flood through one", await measure(floodThroughOne, processes, engineCount)));
    }
}
