import { createIdSource, createSeededRandom, EventKind, FakeClock, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFakeIdentity } from "../../../__fixtures__/fakePeerNetwork.js";
import { createFaultyTableService, TableFaultKind } from "../../../ports/faultyTableService.js";
import { createMemoryTableService } from "../../../ports/memoryTableService.js";
import { createStoreEraTracker, type StoreEraTracker } from "../../../ports/storeEra.js";
import { absentVersion, type TableService, type Transaction, TransactionOutcome } from "../../../ports/tableService.js";
import { hostTable } from "../../orders/__fixtures__/hostTable.js";
import { CallFault, CallKind, createProcessHost } from "../../orders/__fixtures__/processHost.js";
import { createStoreClient } from "../../store/index.js";
import { createDriftingClock } from "../__fixtures__/driftingClock.js";
import { createRestorableTable } from "../__fixtures__/restorableTable.js";
import { createLeaseManager } from "../createLeaseManager.js";
import type { Lease } from "../lease.js";
import { fencingRowKey } from "../leaseRows.js";
import { releaseTransaction, renewalTransaction, takeoverTransaction } from "../leaseTransactions.js";

const times = {
    leaseMilliseconds: 5_000,
    marginMilliseconds: 500,
    renewalIntervalMilliseconds: 1_500,
    pollIntervalMilliseconds: 1_000,
};

/** Starts a process that tries to acquire the lease; its clock runs at `rate`. */
function startManager(
    clock: FakeClock,
    table: TableService,
    name: string,
    rate = 1,
    seed = 1,
    maxDelay = 1,
    storeEra?: StoreEraTracker,
) {
    const drifting = createDriftingClock(clock, rate);
    const random = createSeededRandom(seed);
    const host = createProcessHost(drifting, 9_000, () => random.integerBelow(maxDelay));
    const eventLog = new MemoryEventLog();
    const self = createFakeIdentity(name);
    const storeClient = createStoreClient({
        tableService: hostTable(host, table),
        clock: host.clock,
        random,
        eventLog,
        writesPerSecond: 1_000,
        readsPerSecond: 1_000,
    });
    const ids = createIdSource(self.incarnation);
    const leaseManager = createLeaseManager({
        name: "test",
        self,
        storeClient,
        clock: host.clock,
        random,
        ids,
        eventLog,
        storeEra: storeEra?.current,
        ...times,
    });
    const leases: Lease[] = [];
    leaseManager.onAcquired(lease => leases.push(lease));
    const stopper = new AbortController();
    const running = leaseManager.run(stopper.signal);
    return { host, leaseManager, leases, eventLog, drifting, stop: () => stopper.abort(), running };
}

type Manager = ReturnType<typeof startManager>;

/** Advances the clock until one of the managers holds the lease; returns the time that this took, to 50 ms. */
async function awaitHolder(clock: FakeClock, managers: readonly Manager[], limit = 30_000): Promise<number> {
    const start = clock.monotonicNow();
    while (!managers.some(one => one.leaseManager.current()) && clock.monotonicNow() < start + limit) {
        await clock.advance(50);
    }
    return clock.monotonicNow() - start;
}

describe("createLeaseManager", () => {
    it("has one holder at a time and growing fencing numbers, with clocks 4 % off, slow and failing calls", async () => {
        const overlaps: string[] = [];
        let takeovers = 0;
        for (let seed = 1; seed <= 200; seed++) {
            const clock = new FakeClock();
            const random = createSeededRandom(seed);
            const table = createMemoryTableService();
            const managers = [0.96, 1, 1.04].map((rate, index) =>
                startManager(clock, table, `p${index}`, rate, seed + index, 1_500)
            );
            const acquired: Lease[] = [];
            managers.forEach(one =>
                one.leaseManager.onAcquired(lease => {
                    const held = acquired.filter(other => other.isHeld());
                    const isOld = acquired.some(other => other.fencingNumber >= lease.fencingNumber);
                    if (held.length > 0 || isOld) {
                        overlaps.push(`seed ${seed}: ${lease.fencingNumber} at ${clock.monotonicNow()}`);
                    }
                    acquired.push(lease);
                })
            );
            for (let round = 0; round < 6; round++) {
                await clock.advance(4_000 + random.integerBelow(3_000));
                const { host } = managers.find(one => one.leaseManager.current()) ?? managers[random.integerBelow(3)]!;
                const faults = [CallFault.PauseBefore, CallFault.PauseAfter, CallFault.LoseAnswer, CallFault.LoseCall];
                host.failCall(host.callCount() + 1 + random.integerBelow(3), faults[random.integerBelow(4)]!);
                host.cutOff(CallKind.Store, random.fraction() < 0.5);
                managers.filter(one => one.host !== host).forEach(one => one.host.cutOff(CallKind.Store, false));
            }
            takeovers += acquired.length;
            managers.forEach(one => one.host.kill());
        }
        assert.deepEqual(overlaps, []);
        assert.ok(takeovers > 400, `${takeovers} takeovers`);
    });

    // Guards against concurrent holders and reused fencing numbers after a restore that loses a takeover.
    it("has one holder at a time and growing fencing numbers when the store loses its latest transactions", async () => {
        const overlaps: string[] = [];
        let takeovers = 0;
        for (let seed = 1; seed <= 200; seed++) {
            const clock = new FakeClock();
            const random = createSeededRandom(seed);
            const store = createRestorableTable();
            const managers = [0.96, 1, 1.04].map((rate, index) => {
                const storeEra = createStoreEraTracker();
                return startManager(clock, store.connect(storeEra), `p${index}`, rate, seed + index, 800, storeEra);
            });
            const acquired: Lease[] = [];
            managers.forEach(one =>
                one.leaseManager.onAcquired(lease => {
                    const isHeldTwice = acquired.some(other => other.isHeld());
                    const isOld = acquired.some(other => other.fencingNumber >= lease.fencingNumber);
                    if (isHeldTwice || isOld) {
                        overlaps.push(`seed ${seed}: ${lease.fencingNumber} at ${clock.monotonicNow()}`);
                    }
                    acquired.push(lease);
                })
            );
            for (let round = 0; round < 8; round++) {
                await clock.advance(2_000 + random.integerBelow(5_000));
                const { host } = managers.find(one => one.leaseManager.current()) ?? managers[random.integerBelow(3)]!;
                host.cutOff(CallKind.Store, random.fraction() < 0.5);
                managers.filter(one => one.host !== host).forEach(one => one.host.cutOff(CallKind.Store, false));
                if (random.fraction() < 0.7) {
                    await store.rollBack(1 + random.integerBelow(8));
                }
            }
            takeovers += acquired.length;
            managers.forEach(one => one.host.kill());
        }
        assert.deepEqual(overlaps, []);
        assert.ok(takeovers > 250, `${takeovers} takeovers`);
    });

    // Guards against a holder that keeps acting on a lease that the restored store no longer contains.
    it("loses the lease on the first answer of a later era and reacquires it after the lease length", async () => {
        const clock = new FakeClock();
        const store = createRestorableTable();
        const storeEra = createStoreEraTracker();
        const one = startManager(clock, store.connect(storeEra), "p1", 1, 1, 1, storeEra);
        await awaitHolder(clock, [one]);
        const [first] = one.leases;
        await store.rollBack(1_000);
        storeEra.observe(2);
        assert.equal(one.leaseManager.current(), undefined);
        assert.equal(first?.isHeld(), false);
        const waited = await awaitHolder(clock, [one]);
        assert.ok(waited >= times.leaseMilliseconds, `acquired after ${waited} ms`);
        assert.ok((one.leaseManager.current()?.fencingNumber ?? 0) > (first?.fencingNumber ?? Infinity));
        one.stop();
        await clock.advance(1_000);
        const next = startManager(clock, store.connect(createStoreEraTracker()), "p2", 1, 2, 1, storeEra);
        assert.ok(
            await awaitHolder(clock, [next]) <= 1.5 * times.pollIntervalMilliseconds,
            "a lease released in the current era can be acquired at once",
        );
        next.stop();
        await clock.advance(1_000);
    });

    it("has a new holder within the lease and two polls after a kill, and within one poll after a release", async () => {
        const clock = new FakeClock();
        const table = createMemoryTableService();
        const managers = [startManager(clock, table, "p1", 1, 1), startManager(clock, table, "p2", 1, 2)];
        await awaitHolder(clock, managers);
        const first = managers.find(one => one.leaseManager.current())!;
        const second = managers.find(one => one !== first)!;
        first.host.kill();
        const afterKill = await awaitHolder(clock, [second]);
        assert.ok(afterKill <= times.leaseMilliseconds + 2 * times.pollIntervalMilliseconds, `${afterKill} ms`);
        const third = startManager(clock, table, "p3", 1, 3);
        await clock.advance(2_000);
        second.stop();
        const afterRelease = await awaitHolder(clock, [third]);
        assert.ok(afterRelease <= 1.5 * times.pollIntervalMilliseconds, `${afterRelease} ms`);
        assert.equal(third.leaseManager.current()?.fencingNumber, 3);
        third.host.kill();
    });

    it("computes the deadline from the time at which the renewal was sent, however late the answer arrives", async () => {
        const clock = new FakeClock();
        const faulty = createFaultyTableService(createMemoryTableService(), { clock });
        const one = startManager(clock, faulty.tableService, "p1");
        await awaitHolder(clock, [one]);
        const lease = one.leaseManager.current()!;
        const first = lease.deadline();
        const sentCountBefore = faulty.transactions.length;
        faulty.setDefaultFault({ kind: TableFaultKind.Delayed, delayMilliseconds: 700 });
        while (faulty.transactions.length === sentCountBefore) {
            await clock.advance(10);
        }
        const sentAt = clock.monotonicNow();
        await clock.advance(800);
        assert.ok(lease.deadline() > first);
        assert.ok(lease.deadline() <= sentAt + times.leaseMilliseconds - times.marginMilliseconds);
        one.host.kill();
    });

    it("does not hold a lease whose takeover was not answered, and reacquires it when it reads its own row", async () => {
        const clock = new FakeClock();
        const faulty = createFaultyTableService(createMemoryTableService(), { clock });
        const one = startManager(clock, faulty.tableService, "p1");
        faulty.script(TableFaultKind.None, TableFaultKind.CommitLate);
        faulty.setDefaultFault(TableFaultKind.ConnectionRefused);
        await clock.advance(3_000);
        assert.equal(one.leases.length, 0);
        await faulty.releaseLateCommits();
        faulty.setDefaultFault(TableFaultKind.None);
        await awaitHolder(clock, [one]);
        assert.equal(one.leaseManager.current()?.fencingNumber, 2);
        one.host.kill();
    });

    it("ends when the wall clock advances while the monotonic clock stops, as in a suspended VM", async () => {
        const clock = new FakeClock();
        const one = startManager(clock, createMemoryTableService(), "p1");
        await awaitHolder(clock, [one]);
        const lease = one.leaseManager.current()!;
        clock.jumpWall(times.leaseMilliseconds);
        assert.equal(lease.isHeld(), false);
        clock.jumpWall(-times.leaseMilliseconds);
        assert.equal(lease.isHeld(), false, "an ended lease stays ended");
        one.host.kill();
    });

    it("releases the lease only after the registered tasks have completed", async () => {
        const clock = new FakeClock();
        const table = createMemoryTableService();
        const one = startManager(clock, table, "p1");
        await awaitHolder(clock, [one]);
        let end = () => {};
        one.leaseManager.beforeRelease(() => new Promise(resolve => end = resolve));
        const lease = one.leaseManager.current()!;
        one.stop();
        const two = startManager(clock, table, "p2");
        await clock.advance(2_000);
        assert.equal(lease.isHeld(), false);
        assert.equal(two.leaseManager.current(), undefined);
        assert.equal(one.eventLog.of(EventKind.LeaseReleased).length, 0);
        end();
        await awaitHolder(clock, [two], 2_000);
        assert.equal(two.leaseManager.current()?.fencingNumber, 2);
        two.host.kill();
    });
});

describe("the transactions of a lease", () => {
    const value = { holder: createFakeIdentity("p1"), fencingNumber: 1, leaseMilliseconds: 5_000, released: false };
    const unseen = { fencingVersion: absentVersion, renewalVersion: absentVersion };

    /** Creates a lease that p1 has acquired by the commit with version 1; both rows have this version. */
    async function acquireFirst() {
        const table = createMemoryTableService();
        const commit = async (transaction: Transaction) => (await table.transact(transaction, Infinity)).outcome;
        await commit(takeoverTransaction("test", "w1", value, unseen));
        const lease: Lease = {
            name: "test",
            fencingNumber: 1,
            fencingRow: { key: fencingRowKey("test"), version: 1 },
            deadline: () => Infinity,
            isHeld: () => true,
        };
        return { commit, lease, seen: { fencingVersion: 1, renewalVersion: 1 } };
    }

    it("reject a takeover if the lease was renewed, released or acquired since its rows were read", async () => {
        for (const change of ["renewal", "release", "takeover"]) {
            const { commit, lease, seen } = await acquireFirst();
            const changes = new Map([
                ["renewal", renewalTransaction(lease, "w2", "p1-1", 1)],
                ["release", releaseTransaction(lease, "w2", value)],
                ["takeover", takeoverTransaction("test", "w2", value, seen)],
            ]);
            assert.equal(await commit(changes.get(change)!), TransactionOutcome.Committed);
            assert.equal(
                await commit(takeoverTransaction("test", "w3", value, seen)),
                TransactionOutcome.Rejected,
                change,
            );
        }
    });

    it("reject the earlier holder's renewal and release after a takeover", async () => {
        const { commit, lease, seen } = await acquireFirst();
        await commit(takeoverTransaction("test", "w2", value, seen));
        assert.equal(await commit(renewalTransaction(lease, "w3", "p1-1", 1)), TransactionOutcome.Rejected);
        assert.equal(await commit(releaseTransaction(lease, "w4", value)), TransactionOutcome.Rejected);
    });
});
