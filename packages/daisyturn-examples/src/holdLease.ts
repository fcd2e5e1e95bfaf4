import { createLeaseManager, createMemoryTableService, createStoreClient, type ProcessIdentity } from "daisyturn";
import { type Clock, createIdSource, createSeededRandom, MemoryEventLog, SystemClock } from "daisyturn-utils";

/** Fencing numbers of two processes that held the same lease, one after the other. */
export interface LeaseExampleResult {
    readonly first: number;
    readonly second: number;
}

/** Two processes compete for a lease. When one releases it, the other acquires it with a greater fencing number. */
export async function holdLeaseInTurn(): Promise<LeaseExampleResult> {
    const clock = new SystemClock();
    const tableService = createMemoryTableService();
    const startProcess = (processId: string) => startCompetitor(processId, clock, tableService);

    const earlier = startProcess("process-1");
    const first = await earlier.acquired;
    const later = startProcess("process-2");
    await earlier.stop();
    const second = await later.acquired;
    await later.stop();
    return { first, second };
}

function startCompetitor(processId: string, clock: Clock, tableService: ReturnType<typeof createMemoryTableService>) {
    const eventLog = new MemoryEventLog();
    const random = createSeededRandom(processId.length);
    const self: ProcessIdentity = {
        processId,
        incarnation: `${processId}-run`,
        vmId: processId,
        availabilityZone: "zone-a",
        peerAddress: "127.0.0.1:1",
    };
    const storeClient = createStoreClient({
        tableService,
        clock,
        random,
        eventLog,
        writesPerSecond: 50,
        readsPerSecond: 200,
    });
    const leaseManager = createLeaseManager({
        name: "example",
        self,
        storeClient,
        clock,
        random,
        ids: createIdSource(self.incarnation),
        eventLog,
        pollIntervalMilliseconds: 50,
    });
    const acquired = new Promise<number>(resolve => leaseManager.onAcquired(lease => resolve(lease.fencingNumber)));
    const stopController = new AbortController();
    const running = leaseManager.run(stopController.signal);
    const stop = async () => {
        stopController.abort();
        await running;
    };
    return { acquired, stop };
}
