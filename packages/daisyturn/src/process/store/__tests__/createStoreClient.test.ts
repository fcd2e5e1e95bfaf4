import { createSeededRandom, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFaultyTableService, TableFaultKind } from "../../../ports/faultyTableService.js";
import { createMemoryTableService } from "../../../ports/memoryTableService.js";
import { absentVersion, TransactionOutcome } from "../../../ports/tableService.js";
import { createStoreClient } from "../createStoreClient.js";
import { StorePriority } from "../storeClient.js";

function createSetup() {
    const clock = new FakeClock();
    const faulty = createFaultyTableService(createMemoryTableService(), { clock });
    const client = createStoreClient({
        tableService: faulty.tableService,
        clock,
        random: createSeededRandom(1),
        eventLog: new MemoryEventLog(),
        writesPerSecond: 100,
        readsPerSecond: 100,
    });
    return { clock, faulty, client };
}

const createRow = {
    writeId: "w1",
    conditions: [{ key: "a", expectedVersion: absentVersion }],
    writes: [{ key: "a", value: 1 }],
};

describe("createStoreClient", () => {
    it("reports Committed, with a single commit, if the answer is lost after the commit", async () => {
        const { clock, faulty, client } = createSetup();
        faulty.script(TableFaultKind.BreakAfterCommit);
        const answer = client.commit(createRow, StorePriority.Other, 10_000);
        await clock.advance(10_000);
        assert.deepEqual(await answer, { outcome: TransactionOutcome.Committed, version: 1 });
    });

    it("reports Unknown if the service does not answer until the deadline", async () => {
        const { clock, faulty, client } = createSetup();
        faulty.setDefaultFault(TableFaultKind.BreakBeforeCommit);
        const answer = client.commit(createRow, StorePriority.Other, 10_000);
        await clock.advance(10_000);
        assert.equal((await answer).outcome, TransactionOutcome.Unknown);
    });
});
