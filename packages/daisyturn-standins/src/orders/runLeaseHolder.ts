import { createHttpTableService, createLeaseManager, createStoreClient } from "daisyturn";
import { createIdSource, createSeededRandom, MemoryEventLog, SystemClock } from "daisyturn-utils";
import { once } from "node:events";
import { parseArgs } from "node:util";

// Runs a process that only competes for one lease: --platform URL --id ID --seed N.
const { values } = parseArgs({
    options: {
        platform: { type: "string", default: "" },
        id: { type: "string", default: "p1" },
        seed: { type: "string", default: "1" },
    },
});
const clock = new SystemClock();
const random = createSeededRandom(Number(values.seed));
const eventLog = new MemoryEventLog();
const incarnation = `${values.id}-${String(Date.now()).padStart(15, "0")}`;
const { tableService, close } = createHttpTableService({ url: values.platform, clock });
const stopper = new AbortController();
const leaseManager = createLeaseManager({
    name: "measured",
    self: {
        processId: values.id,
        incarnation,
        vmId: `vm-${values.id}`,
        availabilityZone: "zone-1",
        peerAddress: "127.0.0.1:1",
    },
    storeClient: createStoreClient({
        tableService,
        clock,
        random,
        eventLog,
        writesPerSecond: 20,
        readsPerSecond: 50,
        signal: stopper.signal,
    }),
    clock,
    random,
    ids: createIdSource(incarnation),
    eventLog,
});
const running = leaseManager.run(stopper.signal);
process.stdout.write(`listening incarnation=${incarnation}\n`);
await once(process, "SIGTERM");
stopper.abort();
await running;
await close();
