import {
    absentVersion,
    createHttpTableService,
    createStoreClient,
    type PagedStoreClient,
    type StoreClientOptions,
    type TableService,
    type Transaction,
} from "daisyturn";
import { type Clock, createSeededRandom, MemoryEventLog, SystemClock } from "daisyturn-utils";

/** The clock shared by all store measurements. */
export const clock: Clock = new SystemClock();

/** A rate limit high enough that no call waits for it. */
export const unlimitedRate = 1_000_000;

let transactionCount = 0;

/** Creates a transaction like that of a claim: it writes one row on condition that the row is absent. */
export function createClaimTransaction(): Transaction {
    transactionCount += 1;
    const key = `claims/${transactionCount}`;
    return {
        writeId: `wr-measure-${transactionCount}`,
        conditions: [{ key, expectedVersion: absentVersion }],
        writes: [{ key, value: { state: "claimed", claimId: key, callHash: "0".repeat(64), owner: "measure-1" } }],
    };
}

/** Creates a store client without rate limits; `options` override the defaults. */
export function createMeasuredClient(
    tableService: TableService,
    seed: number,
    options: Partial<StoreClientOptions> = {},
): PagedStoreClient {
    return createStoreClient({
        tableService,
        clock,
        random: createSeededRandom(seed),
        eventLog: new MemoryEventLog(),
        writesPerSecond: unlimitedRate,
        readsPerSecond: unlimitedRate,
        ...options,
    });
}

/** Connects to the table service of the platform's stand-in. */
export function connectTables(url: string) {
    return createHttpTableService({ url, clock });
}
