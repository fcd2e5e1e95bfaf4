import { rmSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { createBalancer } from "../fleet/createBalancer.js";
import { createFleetPlan } from "../fleet/createFleetPlan.js";
import { type Fleet, launchFleet } from "../fleet/launchFleet.js";
import { ModelName, PartnerName } from "../fleet/partnerConfiguration.js";
import { publishFleet } from "../fleet/publishFleet.js";
import { readProcessorSeconds } from "../measure/processTime.js";

/** Size of a measured cell. */
export interface CellSize {
    readonly nodes: number;
    readonly engines: number;
}

/** Cost of the control plane for one entry process of an idle cell. Means over the processes of the cell. */
export interface CellCost extends CellSize {
    /** Share of one core, in per cent. */
    readonly processorPercent: number;
    readonly residentMegabytes: number;
    readonly heapMegabytes: number;
    /** Sent and received over the peer connections, in bytes a second. */
    readonly peerBytesPerSecond: number;
    readonly peerMessagesPerSecond: number;
    /** Transactions and reads of the whole cell in the table service. */
    readonly storeCallsPerSecond: number;
}

interface ProcessReport {
    readonly peerTraffic: {
        readonly bytesSent: number;
        readonly bytesReceived: number;
        readonly messagesSent: number;
        readonly messagesReceived: number;
    };
    readonly memoryBytes: number;
    readonly heapBytes: number;
}

interface CellSample {
    readonly at: number;
    readonly processorSeconds: number;
    readonly reports: readonly ProcessReport[];
    readonly storeCalls: number;
}

const settleMilliseconds = 8_000;
const bytesPerMegabyte = 1_048_576;
const millisecondsPerSecond = 1000;
const percent = 100;

/** Starts a cell without load, waits until it has settled, and measures it for `milliseconds`. */
export async function measureCell(size: CellSize, milliseconds: number): Promise<CellCost> {
    const zones = ["zone-a", "zone-b", "zone-c"];
    const plan = createFleetPlan({
        entryCount: size.nodes,
        engines: Array.from({ length: size.engines }, (unused, index) => ({
            id: `engine-${index + 1}`,
            availabilityZone: zones[index % zones.length] ?? "zone-a",
            role: "mixed",
            models: [ModelName.Large, ModelName.Small],
            checksFencing: true,
        })),
    });
    const fleet = await launchFleet(plan);
    const balancer = createBalancer(fleet);
    try {
        await publishFleet(fleet, plan);
        await balancer.waitForReady(size.nodes);
        await balancer.stop();
        await delay(settleMilliseconds);
        const before = await sampleCell(fleet);
        await delay(milliseconds);
        return computeCost(size, before, await sampleCell(fleet));
    }
    finally {
        await balancer.stop();
        await fleet.stop();
        rmSync(fleet.folder, { recursive: true });
    }
}

async function sampleCell(fleet: Fleet): Promise<CellSample> {
    const reports = await Promise.all(fleet.entries.map(entry => readReport(entry.operatorUrl, fleet)));
    const counts = await readJson<{ transactions: number; reads: number; }>(`${fleet.platform.url}/control/counts`);
    const seconds = fleet.entries.map(entry => readProcessorSeconds(entry.program.processNumber));
    return {
        at: performance.now(),
        processorSeconds: sum(seconds),
        reports,
        storeCalls: counts.transactions + counts.reads,
    };
}

function computeCost(size: CellSize, before: CellSample, after: CellSample): CellCost {
    const seconds = (after.at - before.at) / millisecondsPerSecond;
    const rate = (select: (report: ProcessReport) => number) =>
        (sum(after.reports.map(select)) - sum(before.reports.map(select))) / seconds / size.nodes;
    const mean = (select: (report: ProcessReport) => number) => sum(after.reports.map(select)) / size.nodes;
    return {
        ...size,
        processorPercent: (after.processorSeconds - before.processorSeconds) / seconds / size.nodes * percent,
        residentMegabytes: mean(report => report.memoryBytes) / bytesPerMegabyte,
        heapMegabytes: mean(report => report.heapBytes) / bytesPerMegabyte,
        peerBytesPerSecond: rate(({ peerTraffic }) => peerTraffic.bytesSent + peerTraffic.bytesReceived),
        peerMessagesPerSecond: rate(({ peerTraffic }) => peerTraffic.messagesSent + peerTraffic.messagesReceived),
        storeCallsPerSecond: (after.storeCalls - before.storeCalls) / seconds,
    };
}

function readReport(operatorUrl: string, fleet: Fleet): Promise<ProcessReport> {
    return readJson(`${operatorUrl}/v1/process`, fleet.operatorKey(PartnerName.Nyamata));
}

async function readJson<T>(url: string, key?: string): Promise<T> {
    const answer = await request(url, { headers: key === undefined ? {} : { authorization: `Bearer ${key}` } });
    if (answer.statusCode !== 200) {
        throw new Error(`${url} answered ${answer.statusCode}: ${await answer.body.text()}`);
    }
    return await answer.body.json() as T;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
