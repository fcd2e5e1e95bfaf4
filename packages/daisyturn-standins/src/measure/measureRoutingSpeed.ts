import { type Placement, PlacementOutcome } from "daisyturn";
import { createSeededRandom } from "daisyturn-utils";
import { createPolicyCell, type PolicyProcess } from "./policy/policyCell.js";
import { defaultEngineSettings, SteppedEngine } from "./policy/steppedEngine.js";
import { VirtualClock } from "./policy/virtualClock.js";
import { countUpTo, createMeasuredProfile, createRequest, drawPromptBlocks } from "./requestMix.js";
import { formatSummary, summarise } from "./summarise.js";

/**
 * Measures how many routing decisions per second one core makes: 65 engines, prompts of 100 blocks of which half are
 * shared, cache views at their maximum size, and virtual time that advances as at 150 requests per second. A decision
 * includes the records of the placement up to its end and its share of the work on the engines' reports.
 * Run it with `node packages/daisyturn-standins/dist/measure/measureRoutingSpeed.js`.
 */
const engineCount = 65;
const mix = { blocks: 100, sharedBlocks: 50, prefixes: 200 };
const promptCount = 4_000;
const arrivalsPerSecond = 150;
const decisionsPerReport = 150;
const runs = 10;
const decisionsPerRun = 15_000;
const warmUpDecisions = 30_000;
/** Streams that run concurrently. */
const openPlacements = 300;
const seed = 1;

const clock = new VirtualClock();
const random = createSeededRandom(seed);
const profile = createMeasuredProfile("nyamata");
const prompts = countUpTo(promptCount).map(index => drawPromptBlocks(mix, random, index));
const open: Placement[] = [];

async function createMeasuredProcess(): Promise<PolicyProcess> {
    const engines = countUpTo(engineCount).map(index =>
        new SteppedEngine(`engine-${index}`, new VirtualClock(), defaultEngineSettings)
    );
    const cell = createPolicyCell({
        clock,
        callLater: () => undefined,
        engines,
        processes: 1,
        seed,
        items: [],
        reportIntervalMilliseconds: 1e9,
        exchangeIntervalMilliseconds: 250,
        peerDelayMilliseconds: 1,
    });
    cell.run(new AbortController().signal);
    await clock.runUntil(100);
    return cell.processes[0]!;
}

function decide(process: PolicyProcess, number: number): void {
    const blocks = prompts[number % promptCount]!;
    const placed = process.router.place(createRequest(profile, `r${number}`, blocks, 200, clock.wallNow()));
    if (placed.isErr) {
        throw new Error(placed.error.message);
    }
    placed.value.recordStream(placed.value.engine, `str-${number}`);
    const { expectedFirstTokenAt } = placed.value;
    clock.callLater(expectedFirstTokenAt - clock.wallNow(), () => startStream(placed.value));
    if (open.length > openPlacements) {
        endStream(open.shift()!);
    }
}

function startStream(placement: Placement): void {
    placement.recordFirstToken();
    open.push(placement);
}

function endStream(placement: Placement): void {
    placement.recordTokens(200);
    placement.end(PlacementOutcome.Completed, { promptTokens: 6_432, cachedTokens: 3_200, outputTokens: 200 });
}

/** Applies the load reports that polling would return for engines that have finished their earlier work. */
function applyReports(process: PolicyProcess): void {
    for (const load of process.loadView.loads()) {
        const report = load.report()!;
        load.applyReport({ ...report, asOf: clock.wallNow() - 500, runningStreams: 4, recentStreamIds: [] });
    }
}

async function decideMany(process: PolicyProcess, first: number, count: number): Promise<void> {
    for (let number = first; number < first + count; number++) {
        await clock.runUntil(clock.monotonicNow() + 1_000 / arrivalsPerSecond);
        decide(process, number);
        if (number % decisionsPerReport === 0) {
            applyReports(process);
            process.loadView.exchange.publish();
        }
    }
}

const measured = await createMeasuredProcess();
await decideMany(measured, 0, warmUpDecisions);
const rates: number[] = [];
for (let run = 0; run < runs; run++) {
    const start = process.cpuUsage();
    await decideMany(measured, warmUpDecisions + run * decisionsPerRun, decisionsPerRun);
    const used = process.cpuUsage(start);
    rates.push(decisionsPerRun / ((used.user + used.system) / 1e6));
}
const memory = process.memoryUsage().heapUsed / 2 ** 20;
console.log(`decisions a second of processor time: ${formatSummary(summarise(rates))}, ${runs} runs`);
console.log(
    `heap in use, the prompts with it: ${memory.toFixed(0)} MiB; blocks known: ${measured.loadView.caches.size()}`,
);
