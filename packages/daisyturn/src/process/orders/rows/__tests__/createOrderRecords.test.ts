import { createIdSource, createSeededRandom, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createMemoryTableService } from "../../../../ports/memoryTableService.js";
import { headKey } from "../../../configuration/index.js";
import { createStoreClient } from "../../../store/index.js";
import type { ControllerTenure } from "../../controllerTenure.js";
import { createOrderRecords } from "../createOrderRecords.js";
import { engineOrdersKey } from "../orderRows.js";

const fencingKey = "lease/test";

/** Creates the records and a lease that is held at version 1 of the fencing row. */
async function createRecordsRig() {
    const clock = new FakeClock();
    const table = createMemoryTableService({ initialRows: [{ key: fencingKey, value: {} }] });
    const storeClient = createStoreClient({
        tableService: table,
        clock,
        random: createSeededRandom(1),
        eventLog: new MemoryEventLog(),
        writesPerSecond: 100,
        readsPerSecond: 100,
    });
    const records = createOrderRecords({ cell: "cell-1", storeClient, clock, ids: createIdSource("p1-1") });
    const tenure: ControllerTenure = {
        lease: {
            name: "test",
            fencingNumber: 1,
            deadline: () => 1_000,
            isHeld: () => true,
            fencingRow: { key: fencingKey, version: 1 },
        },
        signal: new AbortController().signal,
        isOver: () => false,
    };
    const rows = (await records.readEngine("engine-1", 1_000)).unwrapOr(undefined)!;
    const overwrite = (key: string) =>
        table.transact({ writeId: "other", conditions: [], writes: [{ key, value: {} }] }, 1_000);
    const write = async (requiresCurrentConfiguration: boolean) => {
        const orders = { engineId: "engine-1" };
        const written = records.writeEngine(tenure, rows, {
            orders,
            requiresCurrentConfiguration,
        });
        await clock.advance(1_000);
        return await written;
    };
    return { overwrite, write };
}

describe("createOrderRecords", () => {
    it("writes under the lease if the rows are unchanged since they were read", async () => {
        const { write } = await createRecordsRig();
        assert.ok(await write(true));
    });

    for (
        const { name, key, requiresCurrentConfiguration } of [
            { name: "the lease has been taken over", key: fencingKey, requiresCurrentConfiguration: false },
            {
                name: "the engine's row has changed",
                key: engineOrdersKey("cell-1", "engine-1"),
                requiresCurrentConfiguration: false,
            },
            { name: "a configuration has been accepted", key: headKey, requiresCurrentConfiguration: true },
        ]
    ) {
        it(`writes nothing once ${name}`, async () => {
            const { overwrite, write } = await createRecordsRig();
            await overwrite(key);
            assert.equal(await write(requiresCurrentConfiguration), undefined);
        });
    }

    it("commits a return to service after a configuration has been accepted", async () => {
        const { overwrite, write } = await createRecordsRig();
        await overwrite(headKey);
        assert.ok(await write(false));
    });
});
