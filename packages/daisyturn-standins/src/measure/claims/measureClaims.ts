import {
    type ClaimRequest,
    createClaimManager,
    type PagedStoreClient,
    type ProcessClaimManager,
    type ProcessIdentity,
    type SendCall,
    type ServiceCall,
    singleProcessMembership,
    SingleProcessNetwork,
    StorePriority,
    type TableService,
} from "daisyturn";
import { createIdSource, MemoryEventLog } from "daisyturn-utils";
import { ok } from "true-myth/result";
import { createPlatformServer } from "../../platform/createPlatformServer.js";
import { formatSummary, quantile } from "../store/runsSummary.js";
import {
    clock,
    connectTables,
    createClaimTransaction,
    createMeasuredClient,
    unlimitedRate,
} from "../store/storeClients.js";

const runs = 7;
const warmUpCalls = 300;
const sequentialCalls = 1_500;
const callTimeoutMilliseconds = 30_000;
/** Time limit of a call in the measurement at fixed rates. */
const offeredCallTimeoutMilliseconds = 2_000;
const offeredMilliseconds = 5_000;
const offeredRates = [5, 20, 40, 80, 160];
/** The share of one of nine processes in a store limit of 400 writes per second. */
const writesPerSecondShare = 400 / 9;
/** Added to each request: 3 ms is what a write to a table service in another availability zone may take in addition. */
const addedStoreMilliseconds = [0, 3];

const self: ProcessIdentity = {
    processId: "measured",
    incarnation: "measured-1",
    vmId: "vm-1",
    availabilityZone: "zone-1",
    peerAddress: "127.0.0.1:1",
};

/** One of the compared variants of running a call. */
type RunCall = (call: ServiceCall) => Promise<unknown>;

interface Bench {
    readonly storeClient: PagedStoreClient;
    readonly claimManager: ProcessClaimManager;
    countTransactions(): number;
    close(): Promise<void>;
}

const send: SendCall = () => Promise.resolve(ok({ status: 201, contentType: "text/plain", body: "ticket" }));

// Measures the latency that a claim adds to a call, with the platform's stand-in on the loopback: `measureClaims.js`.
const print = (line: string) => process.stdout.write(`${line}\n`);
async function measureLatency(slowMilliseconds: number): Promise<void> {
    const variants: readonly (readonly [string, (bench: Bench) => RunCall])[] = [
        ["no claim", () => call => send(call, { isValid: () => true })],
        [
            "claim, answer before its record",
            ({ claimManager }) => call => claimManager.runOnce(createRequest(call), send),
        ],
        ["claim, answer after its record", bench => call => runWithRecord(bench, call)],
        ["claim in two steps, answer before its record", bench => call => runInTwoSteps(bench, call)],
    ];
    print(`store on the loopback, ${slowMilliseconds} ms added to each request; one call after the other`);
    const medians = variants.map((): number[] => []);
    const tails = variants.map((): number[] => []);
    for (let run = 0; run < runs; run++) {
        for (const [index, [, createVariant]] of variants.entries()) {
            const bench = await createBench({ slowMilliseconds }, unlimitedRate, run);
            const runCall = createVariant(bench);
            await timeCalls(runCall, warmUpCalls);
            const times = await timeCalls(runCall, sequentialCalls);
            medians[index]?.push(quantile(times, 0.5));
            tails[index]?.push(quantile(times, 0.99));
            await bench.close();
        }
    }
    for (const [index, [name]] of variants.entries()) {
        print(formatSummary(`${name}: median`, "ms", medians[index] ?? [], 3));
        print(formatSummary(`${name}: 99%`, "ms", tails[index] ?? [], 3));
    }
}

/** Measures the transactions per call at one rate of calls, with writes limited to the process's share. */
async function measureWrites(offered: number): Promise<void> {
    const perCall: number[] = [];
    const answered: number[] = [];
    const latencies: number[] = [];
    for (let run = 0; run < runs; run++) {
        const bench = await createBench({}, writesPerSecondShare, run);
        const times: number[] = [];
        const calls: Promise<void>[] = [];
        const startedAt = clock.monotonicNow();
        while (clock.monotonicNow() < startedAt + offeredMilliseconds) {
            calls.push(timeAnswered(bench.claimManager, times));
            await clock.sleepUntil(startedAt + calls.length * 1_000 / offered);
        }
        await Promise.all(calls);
        await bench.claimManager.drain(clock.monotonicNow() + callTimeoutMilliseconds);
        perCall.push(bench.countTransactions() / calls.length);
        answered.push(times.length / calls.length);
        latencies.push(quantile(times, 0.99));
        await bench.close();
    }
    const name = `${offered} calls/s, ${writesPerSecondShare.toFixed(1)} transactions/s`;
    print(formatSummary(`${name}: transactions per call`, "", perCall, 2));
    print(formatSummary(`${name}: part that was run`, "", answered, 2));
    print(formatSummary(`${name}: 99% latency`, "ms", latencies, 1));
}

async function createBench(
    faults: { readonly slowMilliseconds?: number; },
    writesPerSecond: number,
    seed: number,
): Promise<Bench> {
    const server = await createPlatformServer({
        faults: { writesPerSecond: unlimitedRate, readsPerSecond: unlimitedRate, ...faults },
    });
    const tables = connectTables(server.url);
    let transactions = 0;
    const tableService: TableService = Object.create(tables.tableService, {
        transact: {
            value: (...given: Parameters<TableService["transact"]>) => {
                transactions += 1;
                return tables.tableService.transact(...given);
            },
        },
    });
    const storeClient = createMeasuredClient(tableService, seed, { writesPerSecond });
    const claimManager = createClaimManager({
        self,
        storeClient,
        network: new SingleProcessNetwork(self),
        membership: singleProcessMembership,
        clock,
        ids: createIdSource(self.incarnation),
        eventLog: new MemoryEventLog(),
    });
    return {
        storeClient,
        claimManager,
        countTransactions: () => transactions,
        close: async () => {
            await claimManager.drain(clock.monotonicNow() + callTimeoutMilliseconds);
            await tables.close();
            await server.close();
        },
    };
}

async function runWithRecord({ claimManager }: Bench, call: ServiceCall): Promise<void> {
    await claimManager.runOnce(createRequest(call), send);
    await claimManager.drain(clock.monotonicNow() + callTimeoutMilliseconds);
}

/** Adds a second write before the send, which would distinguish claims whose call was sent from those whose was not. */
function runInTwoSteps({ claimManager, storeClient }: Bench, call: ServiceCall): Promise<unknown> {
    return claimManager.runOnce(createRequest(call), async (given, permit) => {
        const deadline = clock.monotonicNow() + callTimeoutMilliseconds;
        await storeClient.commit(createClaimTransaction(), StorePriority.Claim, deadline);
        return send(given, permit);
    });
}

function createRequest(call: ServiceCall, limitMilliseconds = callTimeoutMilliseconds): ClaimRequest {
    return {
        requestId: call.callId,
        partner: "measured",
        account: "measured",
        service: "measured",
        idempotencyKey: call.callId,
        call,
        deadline: clock.monotonicNow() + limitMilliseconds,
    };
}

/** Records the duration of a call that succeeds; calls refused because the write budget is used up are left out. */
async function timeAnswered(claimManager: ProcessClaimManager, times: number[]): Promise<void> {
    const own: number[] = [];
    let isAnswered = false;
    await timeCall(async call => {
        const result = await claimManager.runOnce(createRequest(call, offeredCallTimeoutMilliseconds), send);
        isAnswered = result.isOk;
    }, own);
    times.push(...isAnswered ? own : []);
}

let callCount = 0;

async function timeCalls(runCall: RunCall, count: number): Promise<number[]> {
    const times: number[] = [];
    for (let index = 0; index < count; index++) {
        await timeCall(runCall, times);
    }
    return times;
}

async function timeCall(runCall: RunCall, times: number[]): Promise<void> {
    callCount += 1;
    const call: ServiceCall = {
        callId: `call-${callCount}`,
        method: "POST",
        path: "/issue",
        body: "{\"seat\":4}",
        deadline: clock.wallNow() + callTimeoutMilliseconds,
    };
    const startedAt = clock.monotonicNow();
    await runCall(call);
    times.push(clock.monotonicNow() - startedAt);
}

for (const slowMilliseconds of addedStoreMilliseconds) {
    await measureLatency(slowMilliseconds);
}
for (const offered of offeredRates) {
    await measureWrites(offered);
}
