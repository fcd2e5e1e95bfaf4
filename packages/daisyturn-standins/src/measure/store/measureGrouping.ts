import { type StoreClient, StorePriority, TransactionOutcome } from "daisyturn";
import { createPlatformServer } from "../../platform/createPlatformServer.js";
import { WriteUnit } from "../../platform/platformFaults.js";
import { formatSummary, quantile } from "./runsSummary.js";
import { clock, connectTables, createClaimTransaction, createMeasuredClient } from "./storeClients.js";

const runs = 5;
const measuredMilliseconds = 5_000;
const commitTimeoutMilliseconds = 2_000;
/** The share of one of nine processes in a store limit of 400 writes per second. */
const writesPerSecond = 400 / 9;
const offeredRates = [20, 40, 80, 200, 400];
const groupSizes = [1, 16];

interface OfferedRun {
    readonly committedPerSecond: number;
    readonly latencies: readonly number[];
}

/** Measures one process's commits within its share of the write rate, with and without grouping, at several loads. */
export async function measureGrouping(print: (line: string) => void): Promise<void> {
    for (const writeUnit of Object.values(WriteUnit)) {
        print(`store that counts writes by ${writeUnit}, ${writesPerSecond.toFixed(1)} writes/s for this process`);
        for (const offered of offeredRates) {
            for (const groupSize of groupSizes) {
                await measureOffered(writeUnit, offered, groupSize, print);
            }
        }
    }
}

async function measureOffered(
    writeUnit: WriteUnit,
    offered: number,
    groupSize: number,
    print: (line: string) => void,
): Promise<void> {
    const results: OfferedRun[] = [];
    for (let seed = 1; seed <= runs; seed++) {
        const server = await createPlatformServer({ faults: { writesPerSecond, writeUnit } });
        const tables = connectTables(server.url);
        const client = createMeasuredClient(tables.tableService, seed, { writesPerSecond, groupSize });
        results.push(await runOffered(client, offered));
        await tables.close();
        await server.close();
    }
    const name = `${offered} commits/s offered, group size ${groupSize}`;
    print(formatSummary(name, "committed/s", results.map(result => result.committedPerSecond)));
    print(formatSummary(`${name}: median latency`, "ms", results.map(result => quantile(result.latencies, 0.5))));
    print(formatSummary(`${name}: 99% latency`, "ms", results.map(result => quantile(result.latencies, 0.99))));
}

/** Starts commits at a constant rate, each with a deadline; those that miss it count as not committed. */
async function runOffered(client: StoreClient, perSecond: number): Promise<OfferedRun> {
    const latencies: number[] = [];
    const startedAt = clock.monotonicNow();
    const commitOne = async () => {
        const sentAt = clock.monotonicNow();
        const deadline = sentAt + commitTimeoutMilliseconds;
        const answer = await client.commit(createClaimTransaction(), StorePriority.Claim, deadline);
        if (answer.outcome === TransactionOutcome.Committed) {
            latencies.push(clock.monotonicNow() - sentAt);
        }
    };
    const commits: Promise<void>[] = [];
    while (clock.monotonicNow() < startedAt + measuredMilliseconds) {
        commits.push(commitOne());
        await clock.sleepUntil(startedAt + commits.length * 1_000 / perSecond);
    }
    await Promise.all(commits);
    return { committedPerSecond: latencies.length * 1_000 / measuredMilliseconds, latencies };
}
