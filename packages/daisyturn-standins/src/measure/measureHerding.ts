import { type EngineChoice, SampledChoice } from "daisyturn";
import type { Random } from "daisyturn-utils";
import { CheapestChoice, ProportionalChoice, RandomChoice, TwoChoices } from "./policy/comparisonChoices.js";
import { createCalmSource } from "./policy/fairShareCases.js";
import { percentileOf, runTrial } from "./policy/policyTrial.js";
import { defaultEngineSettings } from "./policy/steppedEngine.js";
import { formatSummary, summarise } from "./summarise.js";

/**
 * Measures herding: processes that route on the same outdated reports choose the same engines. Compares several
 * policies for the choice. Reports are half a second old when read and are read every half second; peers receive
 * updates within a tenth of a second. Runs without admission, so that only the choice affects the result.
 * Run it with `node packages/daisyturn-standins/dist/measure/measureHerding.js`.
 */
const seeds = [1, 2, 3, 4, 5];
const cells = [
    { engines: 8, processes: 9, requestsPerSecond: 34, prefixes: 5 },
    { engines: 8, processes: 9, requestsPerSecond: 34, prefixes: 100 },
    { engines: 65, processes: 9, requestsPerSecond: 240, prefixes: 5 },
    { engines: 65, processes: 9, requestsPerSecond: 240, prefixes: 100 },
];
const choices: Readonly<Record<string, (random: Random) => EngineChoice>> = {
    cheapest: () => new CheapestChoice(),
    random: random => new RandomChoice(random),
    "cheaper of two": random => new TwoChoices(random),
    "proportional, 50 ms": random => new ProportionalChoice(random, 50),
    "proportional, 200 ms": random => new ProportionalChoice(random, 200),
    "sampled by kind": random => new SampledChoice(random),
};

for (const { prefixes, requestsPerSecond, ...cell } of cells) {
    console.log(`${cell.engines} engines, ${cell.processes} processes, ${prefixes} prefixes`);
    for (const [name, createChoice] of Object.entries(choices)) {
        const results = [];
        for (const seed of seeds) {
            const source = createCalmSource(requestsPerSecond, { mix: { blocks: 30, sharedBlocks: 10, prefixes } });
            const trial = await runTrial({
                ...cell,
                seed,
                seconds: 15,
                engineSettings: defaultEngineSettings,
                sources: [source],
                usesAdmission: false,
                createChoice,
            });
            results.push(trial.sources[0]!);
        }
        const good = formatSummary(summarise(results.map(result => result.good / result.offered)), 3);
        const cached = results.map(result => result.cachedTokens / Math.max(1, result.promptTokens));
        const firstTokens = results.flatMap(result => result.firstTokens);
        const times = [0.5, 0.9, 0.99].map(fraction => percentileOf(firstTokens, fraction).toFixed(0)).join(" / ");
        const found = formatSummary(summarise(cached), 2);
        console.log(`  ${name.padEnd(21)} good ${good}  cached ${found}  first token ${times} ms (50th/90th/99th)`);
    }
}
