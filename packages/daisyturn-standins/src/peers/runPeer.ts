import { createMembership, createServiceGuard, VmList } from "daisyturn";
import { type Failure, FailureReason, MemoryEventLog, notRun } from "daisyturn-utils";
import { once } from "node:events";
import { parseArgs } from "node:util";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { err, type Result } from "true-myth/result";
import { answerJson } from "../httpAnswers.js";
import { listenHttp } from "../httpListener.js";
import { createMeasuredPeer } from "./createMeasuredPeer.js";
import type { PeerReport } from "./peerReport.js";

// Runs a process with only the peer network, membership and the service guard; the store and the VM list are down:
// --id ID --cell NAME --seeds ADDRESS,... [--heartbeat MS]
const { values } = parseArgs({
    options: {
        id: { type: "string", default: "peer" },
        cell: { type: "string", default: "" },
        seeds: { type: "string", default: "" },
        heartbeat: { type: "string", default: "1000" },
    },
});

class UnavailableVmList extends VmList {
    override list(): Promise<Result<never, Failure>> {
        return Promise.resolve(err(notRun(FailureReason.StoreUnavailable, "the list is down")));
    }
}

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;
const eventLog = new MemoryEventLog();
const { clock, random, network, seeds } = createMeasuredPeer({ ...values, eventLog });
const membership = createMembership({
    network,
    vmList: new UnavailableVmList(),
    seeds,
    clock,
    random,
    eventLog,
    heartbeatIntervalMilliseconds: Number(values.heartbeat),
});
const guard = createServiceGuard({
    clock,
    eventLog,
    majority: membership,
    lastStoreAnswerAt: () => undefined,
    pauseLimitMilliseconds: 2 * Number(values.heartbeat),
});
const falseSuspicions = new Set<string>();
membership.onFalselySuspected(suspicion => falseSuspicions.add(suspicion));

function report(): PeerReport {
    collectGarbage();
    const cpu = process.cpuUsage();
    const eventCounts: Record<string, number> = {};
    for (const { kind } of eventLog.events) {
        eventCounts[kind] = (eventCounts[kind] ?? 0) + 1;
    }
    return {
        members: membership.others().map(({ identity, state }) => ({ processId: identity.processId, state })),
        isInService: guard.isInService(),
        misjudgements: [...falseSuspicions],
        eventCounts,
        cpuMilliseconds: (cpu.user + cpu.system) / 1_000,
        messagesSent: network.traffic.messagesSent,
        bytesSent: network.traffic.bytesSent,
        heapBytes: process.memoryUsage().heapUsed,
        residentBytes: process.memoryUsage().rss,
    };
}

await network.start();
const stop = new AbortController();
const tasks = [membership.run(stop.signal), guard.run(stop.signal)];
const server = await listenHttp("127.0.0.1", 0, (...[, response]) => answerJson(response, 200, report()));
process.stdout.write(`listening report=${server.url} peer=${network.self.peerAddress}\n`);

await once(process, "SIGTERM");
stop.abort();
await Promise.all(tasks);
await Promise.all([network.stop(), server.close()]);
