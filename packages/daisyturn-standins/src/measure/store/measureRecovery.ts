import { StorePriority, type TableService, TransactionOutcome } from "daisyturn";
import { createPlatformServer, type PlatformServer } from "../../platform/createPlatformServer.js";
import { OutageKind } from "../../platform/platformFaults.js";
import { formatSummary } from "./runsSummary.js";
import { clock, connectTables, createClaimTransaction, createMeasuredClient, unlimitedRate } from "./storeClients.js";

const runs = 5;
const clientCount = 9;
const stuckPerClient = 20;
const storeWritesPerSecond = 400;
const outageMilliseconds = 20_000;
const commitTimeoutMilliseconds = 120_000;
const countIntervalMilliseconds = 100;
const naiveRetryMilliseconds = 50;

/** Commits one claim and resolves once it is committed. */
type CommitClaim = () => Promise<void>;

interface Recovery {
    /** In milliseconds from the end of the outage. */
    readonly firstCommitAt: number;
    readonly lastCommitAt: number;
    /** Maximum number of calls that reached the store in 100 ms after the outage. */
    readonly peakCalls: number;
    readonly callsDuringOutage: number;
    readonly throttled: number;
}

/** Measures how nine processes with pending transactions recover after an outage, compared with a naive client. */
export async function measureRecovery(print: (line: string) => void): Promise<void> {
    for (const down of [OutageKind.Reset, OutageKind.Hang]) {
        await measureKind(`outage (${down}), store client`, down, createClientCommit, print);
    }
    await measureKind("outage (reset), naive retries each 50 ms", OutageKind.Reset, createNaiveCommit, print);
}

async function measureKind(
    name: string,
    down: OutageKind,
    createCommit: (tableService: TableService, seed: number) => CommitClaim,
    print: (line: string) => void,
): Promise<void> {
    const recoveries: Recovery[] = [];
    for (let run = 0; run < runs; run++) {
        recoveries.push(await runOutage(down, run, createCommit));
    }
    const figures = (read: (recovery: Recovery) => number) => recoveries.map(read);
    print(`${name}: ${clientCount} clients, ${stuckPerClient} stuck each, ${outageMilliseconds / 1_000} s`);
    print(formatSummary("  first commit after the outage", "ms", figures(one => one.firstCommitAt), 0));
    print(formatSummary("  last stuck commit after the outage", "ms", figures(one => one.lastCommitAt), 0));
    print(formatSummary("  most calls in 100 ms after the outage", "calls", figures(one => one.peakCalls), 0));
    print(formatSummary("  calls during the outage", "calls", figures(one => one.callsDuringOutage), 0));
    print(formatSummary("  calls refused over the rate", "calls", figures(one => one.throttled), 0));
}

async function runOutage(
    down: OutageKind,
    run: number,
    createCommit: (tableService: TableService, seed: number) => CommitClaim,
): Promise<Recovery> {
    const server = await createPlatformServer({ faults: { down, writesPerSecond: storeWritesPerSecond } });
    const adapters = Array.from({ length: clientCount }, () => connectTables(server.url));
    const committedAt: number[] = [];
    const stuck = adapters.flatMap(({ tableService }, index) => {
        const commitClaim = createCommit(tableService, run * clientCount + index + 1);
        return Array.from({ length: stuckPerClient }, async () => {
            await commitClaim();
            committedAt.push(clock.monotonicNow());
        });
    });
    await clock.sleepUntil(clock.monotonicNow() + outageMilliseconds);
    const callsDuringOutage = server.counts().requests;
    server.setFaults({ down: OutageKind.None });
    const endedAt = clock.monotonicNow();
    const done = new AbortController();
    const peak = measurePeakCalls(server, done.signal);
    await Promise.all(stuck);
    done.abort();
    const recovery = {
        firstCommitAt: Math.min(...committedAt) - endedAt,
        lastCommitAt: Math.max(...committedAt) - endedAt,
        peakCalls: await peak,
        callsDuringOutage,
        throttled: server.counts().throttled,
    };
    await Promise.all(adapters.map(adapter => adapter.close()));
    await server.close();
    return recovery;
}

async function measurePeakCalls(server: PlatformServer, signal: AbortSignal): Promise<number> {
    let peak = 0;
    let last = server.counts().requests;
    while (!signal.aborted) {
        await clock.sleepUntil(clock.monotonicNow() + countIntervalMilliseconds, signal);
        const count = server.counts().requests;
        peak = Math.max(peak, count - last);
        last = count;
    }
    return peak;
}

function createClientCommit(tableService: TableService, seed: number): CommitClaim {
    const writesPerSecond = storeWritesPerSecond / clientCount;
    const client = createMeasuredClient(tableService, seed, { writesPerSecond });
    return async () => {
        const transaction = createClaimTransaction();
        for (;;) {
            const deadline = clock.monotonicNow() + commitTimeoutMilliseconds;
            const { outcome } = await client.commit(transaction, StorePriority.Claim, deadline);
            if (outcome === TransactionOutcome.Committed) {
                return;
            }
            await clock.sleepUntil(clock.monotonicNow() + naiveRetryMilliseconds);
        }
    };
}

/** Retries at a fixed interval until the transaction commits, without retry budget or circuit breaker. */
function createNaiveCommit(tableService: TableService): CommitClaim {
    return async () => {
        const transaction = createClaimTransaction();
        for (;;) {
            const answer = await tableService.transact(transaction, clock.monotonicNow() + unlimitedRate);
            if (answer.outcome === TransactionOutcome.Committed) {
                return;
            }
            await clock.sleepUntil(clock.monotonicNow() + naiveRetryMilliseconds);
        }
    };
}
