import { createSeededRandom, type Random } from "daisyturn-utils";
import { build, type Histogram } from "hdr-histogram-js";
import { availableParallelism, loadavg } from "node:os";
import { setTimeout as delay } from "node:timers/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { Fleet } from "../fleet/launchFleet.js";
import { ServiceName } from "../fleet/partnerConfiguration.js";
import { launchCallerPathFleet } from "./callerPathFleet.js";
import {
    type CallerPathRequests,
    createCallerPathRequests,
    RequestRoute,
    type RequestTimes,
} from "./callerPathRequests.js";
import { readProcessorSeconds } from "./processTime.js";

// Compares the latency of requests through an entry process, directly to a target, and through a proxy that only
// forwards bytes, in blocks that alternate within one run.
// Usage: node packages/daisyturn-standins/dist/measure/measureCallerPath.js [--seeds N] [--rate N] [--seconds N]

/** The measured durations. */
enum Quantity {
    LookUp = "look-up, whole",
    FirstByte = "completion, first byte",
    Completion = "completion, whole",
}

type Recorded = Readonly<Record<RequestRoute, Readonly<Record<Quantity, Histogram>> & { refused: number; }>>;

const microsecondsPerMillisecond = 1000;
const millisecondsPerSecond = 1000;
/** Seed of the warm-up run, in which the processes compile their code; its times are not counted. */
const warmUpSeed = 0;
const blocksPerRoute = 4;
const outputTokens = 16;
const relayStreams = 32;
const relayTokens = 400;
const idleSeconds = 3;
const median = 50;
const tail = 99;

const flags = await yargs(hideBin(process.argv))
    .option("seeds", { type: "number", default: 5 })
    .option("rate", { type: "number", default: 200, describe: "requests a second" })
    .option("seconds", { type: "number", default: 10, describe: "for each route and seed" })
    .strict()
    .parse();

await measure();

async function measure(): Promise<void> {
    const started = await launchCallerPathFleet();
    const { fleet } = started;
    const requests = createCallerPathRequests(started);
    try {
        printLoad();
        await measureLatency(fleet, requests, warmUpSeed);
        for (let seed = 1; seed <= flags.seeds; seed++) {
            printAddedLatency(seed, await measureLatency(fleet, requests, seed));
        }
        for (let seed = 1; seed <= flags.seeds; seed++) {
            await measureRelay(fleet, requests, seed);
        }
    }
    finally {
        printLoad();
        await requests.close();
        await started.bareRelay.stop();
        await fleet.stop();
    }
}

async function measureLatency(fleet: Fleet, requests: CallerPathRequests, seed: number): Promise<Recorded> {
    const random = createSeededRandom(seed);
    const recorded = createRecorded();
    const processNumber = fleet.entries[0]?.program.processNumber ?? 0;
    const processorStart = readProcessorSeconds(processNumber);
    for (let block = 0; block < blocksPerRoute; block++) {
        for (const route of shuffle(Object.values(RequestRoute), random)) {
            await runBlock(requests, random, route, recorded);
        }
    }
    const count = recorded[RequestRoute.ThroughEntry][Quantity.LookUp].totalCount
        + recorded[RequestRoute.ThroughEntry][Quantity.Completion].totalCount;
    const processorMilliseconds = (readProcessorSeconds(processNumber) - processorStart) * millisecondsPerSecond;
    print(`seed ${seed}: ${(processorMilliseconds / count).toFixed(2)} ms of processor time for each request`);
    return recorded;
}

function shuffle<Item>(items: readonly Item[], random: Random): Item[] {
    const keyed = items.map(item => ({ item, key: random.fraction() }));
    return keyed.sort((left, right) => left.key - right.key).map(({ item }) => item);
}

/** Sends requests with Poisson arrivals at the given rate; half are look-ups, half completions. */
async function runBlock(
    requests: CallerPathRequests,
    random: Random,
    route: RequestRoute,
    recorded: Recorded,
): Promise<void> {
    const end = performance.now() + flags.seconds * millisecondsPerSecond / blocksPerRoute;
    const running: Promise<void>[] = [];
    const record = (quantities: readonly Quantity[], { isAnswered, firstByte, total }: RequestTimes) => {
        recorded[route].refused += isAnswered ? 0 : 1;
        for (const quantity of isAnswered ? quantities : []) {
            const milliseconds = quantity === Quantity.FirstByte ? firstByte : total;
            recorded[route][quantity].recordValue(Math.round(milliseconds * microsecondsPerMillisecond));
        }
    };
    let next = performance.now();
    while (next < end) {
        next -= Math.log(1 - random.fraction()) * millisecondsPerSecond / flags.rate;
        await delay(Math.max(0, next - performance.now()));
        const sent = random.fraction() < 0.5
            ? requests.lookUp(route).then(times => record([Quantity.LookUp], times))
            : requests.complete(route, ServiceName.Valuation, outputTokens)
                .then(times => record([Quantity.FirstByte, Quantity.Completion], times));
        running.push(sent);
    }
    await Promise.all(running);
}

/** Runs a constant number of concurrent streams and divides their tokens by the entry process's processor time. */
async function measureRelay(fleet: Fleet, requests: CallerPathRequests, seed: number): Promise<void> {
    const processNumber = fleet.entries[0]?.program.processNumber ?? 0;
    const idleStart = readProcessorSeconds(processNumber);
    await delay(idleSeconds * millisecondsPerSecond);
    const idleShare = (readProcessorSeconds(processNumber) - idleStart) / idleSeconds;

    const processorStart = readProcessorSeconds(processNumber);
    const startedAt = performance.now();
    const end = startedAt + flags.seconds * millisecondsPerSecond;
    let tokens = 0;
    const streamOneAfterTheOther = async () => {
        while (performance.now() < end) {
            const { isAnswered } = await requests.complete(
                RequestRoute.ThroughEntry,
                ServiceName.QuickQuestion,
                relayTokens,
            );
            tokens += isAnswered ? relayTokens : 0;
        }
    };
    await Promise.all(Array.from({ length: relayStreams }, streamOneAfterTheOther));
    const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
    const processorSeconds = readProcessorSeconds(processNumber) - processorStart;
    const used = processorSeconds - idleShare * seconds;
    print(
        `run ${seed}: relay of ${relayStreams} streams: ${Math.round(tokens / seconds)} tokens/s at `
            + `${(processorSeconds / seconds).toFixed(2)} cores (idle ${idleShare.toFixed(3)}), `
            + `${Math.round(tokens / used)} tokens per core second`,
    );
}

function printAddedLatency(seed: number, recorded: Recorded): void {
    print(
        `seed ${seed}: ${recorded[RequestRoute.ThroughEntry].refused} refused by the entry process, not in the figures`,
    );
    for (const quantity of Object.values(Quantity)) {
        const describe = (percentile: number) => {
            const read = (route: RequestRoute) =>
                recorded[route][quantity].getValueAtPercentile(percentile) / microsecondsPerMillisecond;
            const describeAdded = (route: RequestRoute) =>
                `${route} +${(read(route) - read(RequestRoute.Direct)).toFixed(2)}`;
            return `p${percentile} direct ${read(RequestRoute.Direct).toFixed(2)} ms, ${
                describeAdded(RequestRoute.ThroughBareRelay)
            }, `
                + describeAdded(RequestRoute.ThroughEntry);
        };
        const count = recorded[RequestRoute.ThroughEntry][quantity].totalCount;
        print(`seed ${seed}: ${quantity}: ${describe(median)}; ${describe(tail)}; ${count} through the entry`);
    }
}

/** Prints the load average, because other programs on the machine increase the spread of the figures. */
function printLoad(): void {
    print(`load average ${loadavg()[0]?.toFixed(1)} on ${availableParallelism()} cores`);
}

function createRecorded(): Recorded {
    const createHistograms = () => ({
        [Quantity.LookUp]: build(),
        [Quantity.FirstByte]: build(),
        [Quantity.Completion]: build(),
        refused: 0,
    });
    return {
        [RequestRoute.Direct]: createHistograms(),
        [RequestRoute.ThroughBareRelay]: createHistograms(),
        [RequestRoute.ThroughEntry]: createHistograms(),
    };
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
