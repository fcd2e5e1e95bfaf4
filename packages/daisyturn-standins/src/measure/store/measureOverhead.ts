import { createMemoryTableService, StorePriority, type TableService } from "daisyturn";
import { createPlatformServer } from "../../platform/createPlatformServer.js";
import { formatSummary, quantile } from "./runsSummary.js";
import { clock, connectTables, createClaimTransaction, createMeasuredClient, unlimitedRate } from "./storeClients.js";

const runs = 7;
const warmUpCommits = 3_000;
const memoryCommits = 20_000;
const httpCommits = 2_000;
const commitTimeoutMilliseconds = 60_000;

type CommitOne = () => Promise<unknown>;

/** Measures the client's overhead per commit: processor time with a store in memory, and latency over HTTP. */
export async function measureOverhead(print: (line: string) => void): Promise<void> {
    await measureProcessorTime(print);
    const server = await createPlatformServer({
        faults: { writesPerSecond: unlimitedRate, readsPerSecond: unlimitedRate },
    });
    const tables = connectTables(server.url);
    await measureLatency(tables.tableService, print);
    await tables.close();
    await server.close();
}

async function measureProcessorTime(print: (line: string) => void): Promise<void> {
    const perCommit = async (createCommit: (tableService: TableService) => CommitOne) => {
        const commitOne = createCommit(createMemoryTableService());
        await repeat(warmUpCommits, commitOne);
        const before = process.cpuUsage();
        await repeat(memoryCommits, commitOne);
        const { user, system } = process.cpuUsage(before);
        return (user + system) / memoryCommits;
    };
    const direct: number[] = [];
    const throughClient: number[] = [];
    for (let run = 0; run < runs; run++) {
        direct.push(await perCommit(commitDirectly));
        throughClient.push(await perCommit(commitThroughClient));
    }
    print(formatSummary("processor time per commit, table service in memory", "us", direct));
    print(formatSummary("the same through the store client", "us", throughClient));
}

async function measureLatency(tableService: TableService, print: (line: string) => void): Promise<void> {
    for (const part of [0.5, 0.99]) {
        const direct: number[] = [];
        const throughClient: number[] = [];
        for (let run = 0; run < runs; run++) {
            direct.push(quantile(await timeEach(commitDirectly(tableService)), part));
            throughClient.push(quantile(await timeEach(commitThroughClient(tableService)), part));
        }
        print(formatSummary(`latency over HTTP, quantile ${part}, without the client`, "ms", direct, 3));
        print(formatSummary(`latency over HTTP, quantile ${part}, through the client`, "ms", throughClient, 3));
    }
}

function commitDirectly(tableService: TableService): CommitOne {
    return () => tableService.transact(createClaimTransaction(), clock.monotonicNow() + commitTimeoutMilliseconds);
}

function commitThroughClient(tableService: TableService): CommitOne {
    const client = createMeasuredClient(tableService, 1);
    return () =>
        client.commit(createClaimTransaction(), StorePriority.Claim, clock.monotonicNow() + commitTimeoutMilliseconds);
}

async function repeat(count: number, action: CommitOne): Promise<void> {
    for (let index = 0; index < count; index++) {
        await action();
    }
}

async function timeEach(action: CommitOne): Promise<number[]> {
    const times: number[] = [];
    for (let index = 0; index < httpCommits; index++) {
        const startedAt = clock.monotonicNow();
        await action();
        times.push(clock.monotonicNow() - startedAt);
    }
    return times;
}
