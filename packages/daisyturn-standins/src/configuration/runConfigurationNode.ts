import {
    createConfigurationManager,
    createConfigurationRoutes,
    createHttpTableService,
    createHttpVmList,
    createMembership,
    createOperatorServer,
    createStoreClient,
    OperatorMethod,
} from "daisyturn";
import { createIdSource, type EventFields, EventKind, EventLog, hashText, toJson } from "daisyturn-utils";
import { once, setMaxListeners } from "node:events";
import { parseArgs } from "node:util";
import { ok } from "true-myth/result";
import { createMeasuredPeer } from "../peers/createMeasuredPeer.js";
import { measuredPartners, type NodeReport, operatorKeyOf } from "./nodeReport.js";

// Runs a process with only peer connections, membership and configuration, for measurements:
// --id ID --seeds ADDRESS,... --platform URL [--head-interval MS]
const { values } = parseArgs({
    options: {
        id: { type: "string", default: "node" },
        seeds: { type: "string", default: "" },
        platform: { type: "string", default: "" },
        "head-interval": { type: "string", default: "1000" },
    },
});

/** Records when this process accepted and activated each generation, on the machine's monotonic clock. */
class TimedEventLog extends EventLog {
    readonly acceptedAt: Record<number, number> = {};
    readonly inForceAt: Record<number, number> = {};

    override record(kind: EventKind, fields: EventFields = {}): void {
        const generation = fields.generation ?? 0;
        if (kind === EventKind.ConfigurationAccepted) {
            this.acceptedAt[generation] = readMachineClock();
        }
        if (kind === EventKind.ConfigurationInForce) {
            this.inForceAt[generation] = readMachineClock();
        }
    }
}

/** Returns milliseconds of a clock that all processes of one machine share. */
function readMachineClock(): number {
    return Number(process.hrtime.bigint()) / 1_000_000;
}

const startedAt = readMachineClock();
const eventLog = new TimedEventLog();
const { clock, random, self, network, seeds } = createMeasuredPeer({ ...values, eventLog });
const ids = createIdSource(self.incarnation);
const tables = createHttpTableService({ url: values.platform, clock });
const vms = createHttpVmList({ url: values.platform, clock });
const storeClient = createStoreClient({
    tableService: tables.tableService,
    clock,
    random,
    eventLog,
    writesPerSecond: 30,
    readsPerSecond: 150,
});
const membership = createMembership({ network, vmList: vms.vmList, seeds, clock, random, eventLog });
const configurationManager = createConfigurationManager({
    self,
    storeClient,
    network,
    membership,
    clock,
    random,
    eventLog,
    ids,
    timing: { headIntervalMilliseconds: Number(values["head-interval"]) },
});
const background = new AbortController();
setMaxListeners(0, background.signal);
let adoptedAt = 0;

function report(): NodeReport {
    const cpu = process.cpuUsage();
    return {
        acceptedAt: eventLog.acceptedAt,
        inForceAt: eventLog.inForceAt,
        adoptionMilliseconds: adoptedAt - startedAt,
        items: configurationManager.current().items.length,
        livePeers: membership.livePeers().length,
        cpuMilliseconds: (cpu.user + cpu.system) / 1_000,
        messagesSent: network.traffic.messagesSent,
        bytesSent: network.traffic.bytesSent,
        heapBytes: process.memoryUsage().heapUsed,
        residentBytes: process.memoryUsage().rss,
    };
}

await network.start();
const tasks = [membership.run(background.signal)];
// Without this wait, a process that joins a running cell adopts from the store before its first peer is connected.
for (let wait = 0; seeds.length > 0 && membership.livePeers().length === 0 && wait < 100; wait++) {
    await clock.sleepUntil(clock.monotonicNow() + 20);
}
const adoptionStart = readMachineClock();
await configurationManager.adopt(background.signal);
adoptedAt = startedAt + readMachineClock() - adoptionStart;
tasks.push(configurationManager.run(background.signal));
const server = await createOperatorServer({
    listen: { host: "127.0.0.1", port: 0 },
    operators: measuredPartners.map(partner => ({ partner, name: "op", keyHash: hashText(operatorKeyOf(partner)) })),
    routes: [
        ...createConfigurationRoutes({ configurationManager, membership, self, ids, clock }),
        { method: OperatorMethod.Get, path: "/measurements", handle: () => ok(toJson(report())) },
    ],
    clock,
    eventLog,
});
process.stdout.write(`listening operators=http://127.0.0.1:${server.port} peer=${network.self.peerAddress}\n`);

await once(process, "SIGTERM");
background.abort();
await server.close();
await Promise.all(tasks);
await network.stop();
await Promise.all([tables.close(), vms.close()]);
