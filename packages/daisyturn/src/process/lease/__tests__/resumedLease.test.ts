import { createIdSource, createSeededRandom, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFakeIdentity } from "../../../__fixtures__/fakePeerNetwork.js";
import { createMemoryTableService } from "../../../ports/memoryTableService.js";
import type { TableService } from "../../../ports/tableService.js";
import { createStoreClient } from "../../store/index.js";
import { createLeaseManager, type LeaseManagerOptions } from "../createLeaseManager.js";
import { LeaseState } from "../lease.js";

const leaseMilliseconds = 3_000;

function startManager(
    clock: FakeClock,
    table: TableService,
    self: LeaseManagerOptions["self"],
    options: Pick<LeaseManagerOptions, "mayTakeOver" | "storeEra"> = {},
) {
    const random = createSeededRandom(1);
    const eventLog = new MemoryEventLog();
    const storeClient = createStoreClient({
        tableService: table,
        clock,
        random,
        eventLog,
        writesPerSecond: 100,
        readsPerSecond: 100,
    });
    const manager = createLeaseManager({
        name: "test",
        self,
        storeClient,
        clock,
        random,
        ids: createIdSource(self.incarnation),
        eventLog,
        leaseMilliseconds,
        renewalIntervalMilliseconds: 1_000,
        pollIntervalMilliseconds: 300,
        ...options,
    });
    const stop = new AbortController();
    return { manager, start: () => void manager.run(stop.signal), stop: () => stop.abort() };
}

/** Has `first` acquire the lease and end without releasing it. */
async function endHolder(clock: FakeClock, table: TableService) {
    const isAlive = { value: true };
    const unreliable: TableService = Object.create(table, {
        transact: {
            value: (...call: Parameters<TableService["transact"]>) =>
                isAlive.value ? table.transact(...call) : new Promise(() => undefined),
        },
    }) as TableService;
    const holder = startManager(clock, unreliable, createFakeIdentity("first", "first-1"));
    holder.start();
    await clock.advance(100);
    assert.ok(holder.manager.current());
    isAlive.value = false;
    return holder;
}

// Guards against an outage of the length of a lease whenever its holder has restarted.
test("a process that held the lease when it ended has it again at once, under a higher fencing number", async () => {
    const clock = new FakeClock();
    const table = createMemoryTableService();
    const { manager: before } = await endHolder(clock, table);
    const earlier = before.current()?.fencingNumber ?? 0;
    const restarted = startManager(clock, table, createFakeIdentity("first", "first-2"), { mayTakeOver: () => false });
    assert.equal(await restarted.manager.inspect(), LeaseState.Interrupted);
    restarted.start();
    await clock.advance(100);
    assert.ok((restarted.manager.current()?.fencingNumber ?? 0) > earlier);
    restarted.stop();
    await clock.advance(100);
});

// Guards against two holders: only at its own address is an earlier incarnation known to have ended.
test("a process of the same name at another address, and any other process, wait for the length of the lease", async () => {
    for (
        const identity of [
            createFakeIdentity("second"),
            { ...createFakeIdentity("first", "first-2"), peerAddress: "elsewhere:1" },
        ]
    ) {
        const clock = new FakeClock();
        const table = createMemoryTableService();
        await endHolder(clock, table);
        const other = startManager(clock, table, identity);
        assert.equal(await other.manager.inspect(), LeaseState.Other);
        other.start();
        await clock.advance(leaseMilliseconds - 100);
        assert.equal(other.manager.current(), undefined);
        await clock.advance(400);
        assert.ok(other.manager.current());
        other.stop();
        await clock.advance(100);
    }
});

// Guards against a wait that begins only when a process comes to need the lease of a dead holder.
test("a process that may not take over observes, and takes over as soon as it may once the lease has run out", async () => {
    const clock = new FakeClock();
    const table = createMemoryTableService();
    await endHolder(clock, table);
    let mayTakeOver = false;
    const standby = startManager(clock, table, createFakeIdentity("second"), { mayTakeOver: () => mayTakeOver });
    standby.start();
    await clock.advance(leaseMilliseconds + 1_000);
    assert.equal(standby.manager.current(), undefined);
    mayTakeOver = true;
    await clock.advance(500);
    assert.ok(standby.manager.current());
    standby.stop();
    await clock.advance(100);
});

test("a lease without a row of the current era of the store is known as such", async () => {
    const clock = new FakeClock();
    const { manager } = startManager(clock, createMemoryTableService(), createFakeIdentity("first"), {
        storeEra: () => 2,
    });
    assert.equal(await manager.inspect(), LeaseState.NotInEra);
});
