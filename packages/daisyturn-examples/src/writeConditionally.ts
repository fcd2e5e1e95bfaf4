import {
    absentVersion,
    createMemoryTableService,
    createStoreClient,
    StorePriority,
    TransactionOutcome,
} from "daisyturn";
import { createSeededRandom, MemoryEventLog, SystemClock } from "daisyturn-utils";

/** Writes a row twice, each time on the condition that it does not exist; the second write is rejected. */
export async function writeRowOnce(): Promise<readonly TransactionOutcome[]> {
    const clock = new SystemClock();
    const storeClient = createStoreClient({
        tableService: createMemoryTableService(),
        clock,
        random: createSeededRandom(1),
        eventLog: new MemoryEventLog(),
        writesPerSecond: 50,
        readsPerSecond: 200,
    });
    const write = async (writeId: string) => {
        const answer = await storeClient.commit(
            {
                writeId,
                conditions: [{ key: "example/row", expectedVersion: absentVersion }],
                writes: [{ key: "example/row", value: writeId }],
            },
            StorePriority.Other,
            clock.monotonicNow() + 1_000,
        );
        return answer.outcome;
    };
    return [await write("write-1"), await write("write-2")];
}
