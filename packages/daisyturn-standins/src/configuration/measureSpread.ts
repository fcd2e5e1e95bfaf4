import { ChangeAction, type ChangeAnswer, ItemKind, Priority } from "daisyturn";
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { setTimeout as delay } from "node:timers/promises";
import { parseArgs } from "node:util";
import { callNode, type ConfigurationNodes, launchNodes } from "./launchNodes.js";
import type { NodeReport } from "./nodeReport.js";

// Measures the time from the acceptance of a change until it is active in every process, and the cost of the exchange:
// --cells 9 or 9,9,9 (processes per cell) [--changes 100] [--runs 5] [--idle-seconds 10] [--interval-milliseconds 100]
const { values } = parseArgs({
    options: {
        cells: { type: "string", default: "9" },
        changes: { type: "string", default: "100" },
        runs: { type: "string", default: "5" },
        "idle-seconds": { type: "string", default: "10" },
        "interval-milliseconds": { type: "string", default: "100" },
    },
});
const cellSizes = values.cells.split(",").map(Number);
const changeCount = Number(values.changes);
const idleMilliseconds = Number(values["idle-seconds"]) * 1_000;
const intervalMilliseconds = Number(values["interval-milliseconds"]);
/** Time limit for cells to form and for changes to become active everywhere. */
const settleMilliseconds = 60_000;
const microsecondsPerMillisecond = 1_000;

/** Mean cost per process over one phase. */
interface PhaseCost {
    readonly cpuMilliseconds: number;
    readonly bytesSent: number;
    readonly messagesSent: number;
    readonly elapsedMilliseconds: number;
}

interface RunResult {
    /** Microseconds from the answer to the committed transaction until the change is active in the last process. */
    readonly propagation: Histogram;
    /** Microseconds from an operator's call to its answer. */
    readonly answer: Histogram;
    readonly idle: PhaseCost;
    readonly busy: PhaseCost;
    readonly residentMegabytes: number;
    readonly missing: number;
}

function createHistogram(): Histogram {
    return buildHistogram({ highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 });
}

function createChange(writeId: string, index: number) {
    return {
        writeId,
        changes: [{
            action: ChangeAction.Put,
            item: {
                kind: ItemKind.Profile,
                partner: "north",
                name: `profile-${index % 26}`,
                model: "large",
                priority: Priority.Interactive,
                firstTokenLimitMilliseconds: 1_600,
                betweenTokensLimitMilliseconds: 36,
                totalLimitMilliseconds: 30_000,
                maxOutputTokens: 400 + index,
                goodputWorth: 1,
                roleChangeCost: 1,
            },
        }],
    };
}

async function waitUntil(isConditionMet: () => Promise<boolean>): Promise<boolean> {
    const deadline = performance.now() + settleMilliseconds;
    while (performance.now() < deadline) {
        if (await isConditionMet()) {
            return true;
        }
        await delay(200);
    }
    return false;
}

const readReports = (cells: ConfigurationNodes) => Promise.all(cells.nodes.map(node => node.report()));

async function measurePhase(cells: ConfigurationNodes, run: () => Promise<unknown>): Promise<PhaseCost> {
    const before = await readReports(cells);
    const start = performance.now();
    await run();
    const elapsedMilliseconds = performance.now() - start;
    const after = await readReports(cells);
    const average = (field: "cpuMilliseconds" | "bytesSent" | "messagesSent") =>
        after.reduce((sum, report, index) => sum + report[field] - (before[index]?.[field] ?? 0), 0) / after.length;
    return {
        cpuMilliseconds: average("cpuMilliseconds"),
        bytesSent: average("bytesSent"),
        messagesSent: average("messagesSent"),
        elapsedMilliseconds,
    };
}

async function publishChanges(cells: ConfigurationNodes, answer: Histogram): Promise<void> {
    for (let index = 0; index < changeCount; index++) {
        const node = cells.nodes[(index * 7) % cells.nodes.length];
        const start = performance.now();
        await callNode<ChangeAnswer>(node?.operatorUrl ?? "", "POST", "/v1/changes", createChange(`w-${index}`, index));
        answer.recordValue((performance.now() - start) * microsecondsPerMillisecond);
        await delay(intervalMilliseconds);
    }
}

/** If a process skipped a generation, the changes of that one became active with the next generation it applied. */
function findActiveAt(report: NodeReport, generation: number): number {
    const later = Object.entries(report.inForceAt).filter(([reached]) => Number(reached) >= generation);
    return Math.min(...later.map(([, at]) => at));
}

function recordPropagation(reports: readonly NodeReport[], propagation: Histogram): number {
    const accepted = reports.flatMap(report => Object.entries(report.acceptedAt));
    for (const [generation, acceptedAt] of accepted) {
        const last = Math.max(...reports.map(report => findActiveAt(report, Number(generation))));
        propagation.recordValue(Math.max(0, last - acceptedAt) * microsecondsPerMillisecond);
    }
    return changeCount - accepted.length;
}

async function runOnce(): Promise<RunResult> {
    const cells = await launchNodes(cellSizes);
    try {
        const isJoined = await waitUntil(async () => {
            const reports = await readReports(cells);
            return reports.every((report, index) => report.livePeers === sizeOfCell(index) - 1);
        });
        if (!isJoined) {
            throw new Error("cells did not form within the time limit");
        }
        const propagation = createHistogram();
        const answer = createHistogram();
        const idle = await measurePhase(cells, () => delay(idleMilliseconds));
        const busy = await measurePhase(cells, async () => {
            await publishChanges(cells, answer);
            await waitUntil(async () => {
                const reports = await readReports(cells);
                return reports.every(report => report.inForceAt[changeCount] !== undefined);
            });
        });
        const reports = await readReports(cells);
        const missing = recordPropagation(reports, propagation);
        const resident = reports.reduce((sum, report) => sum + report.residentBytes, 0) / reports.length;
        return { propagation, answer, idle, busy, residentMegabytes: resident / 1_048_576, missing };
    }
    finally {
        await cells.stop();
    }
}

function sizeOfCell(nodeIndex: number): number {
    let first = 0;
    for (const size of cellSizes) {
        first += size;
        if (nodeIndex < first) {
            return size;
        }
    }
    return 0;
}

function describeRun({ propagation, answer, idle, busy, residentMegabytes, missing }: RunResult): object {
    const inMilliseconds = (histogram: Histogram, percentile: number) =>
        Number((histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond).toFixed(1));
    const perSecond = (cost: PhaseCost, field: "cpuMilliseconds" | "bytesSent" | "messagesSent") =>
        cost[field] / cost.elapsedMilliseconds * 1_000;
    const perChange = (field: "cpuMilliseconds" | "bytesSent" | "messagesSent") =>
        (busy[field] - perSecond(idle, field) * busy.elapsedMilliseconds / 1_000) / changeCount;
    return {
        cells: values.cells,
        missing,
        inForceP50: inMilliseconds(propagation, 50),
        inForceP99: inMilliseconds(propagation, 99),
        inForceMaximum: Number((propagation.maxValue / microsecondsPerMillisecond).toFixed(1)),
        answerP50: inMilliseconds(answer, 50),
        answerP99: inMilliseconds(answer, 99),
        idleCpuPercent: Number((perSecond(idle, "cpuMilliseconds") / 10).toFixed(2)),
        idleBytesPerSecond: Math.round(perSecond(idle, "bytesSent")),
        cpuMillisecondsPerChange: Number(perChange("cpuMilliseconds").toFixed(3)),
        bytesPerChange: Math.round(perChange("bytesSent")),
        messagesPerChange: Number(perChange("messagesSent").toFixed(2)),
        residentMegabytes: Math.round(residentMegabytes),
    };
}

for (let run = 0; run < Number(values.runs); run++) {
    process.stdout.write(`${JSON.stringify(describeRun(await runOnce()))}\n`);
}
