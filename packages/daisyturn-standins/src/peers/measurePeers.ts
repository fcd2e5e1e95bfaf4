import { MemberState } from "daisyturn";
import { setTimeout as delay } from "node:timers/promises";
import { parseArgs } from "node:util";
import { launchPeers, type PeerProgram } from "./launchPeers.js";
import type { PeerReport } from "./peerReport.js";

// Measures the cost of membership per process for several numbers of members, and prints the slopes:
// [--members 3,9,30] [--seconds 20] [--heartbeat 1000]
// With 100 processes, use --heartbeat 5000: at 1000, they use all of a machine with twelve cores.
const { values } = parseArgs({
    options: {
        members: { type: "string", default: "3,9,30" },
        heartbeat: { type: "string", default: "1000" },
        seconds: { type: "string", default: "20" },
    },
});
const heartbeatMilliseconds = Number(values.heartbeat);
const measuredMilliseconds = Number(values.seconds) * 1_000;
const formingLimitMilliseconds = 120_000;
/** Time until the members' views have converged after the cell has formed. */
const settleMilliseconds = 10_000;

/** Means over all processes of one cell, except `falseSuspicions`. */
interface Cost {
    readonly members: number;
    readonly bytesSentPerSecond: number;
    readonly messagesSentPerSecond: number;
    readonly cpuPercent: number;
    readonly heapKilobytes: number;
    readonly residentMegabytes: number;
    /** Total of the suspicions and deaths that the processes recorded; expected to be 0. */
    readonly falseSuspicions: number;
}

const readReports = (peers: readonly PeerProgram[]) => Promise.all(peers.map(peer => peer.report()));

async function waitUntilFormed(peers: readonly PeerProgram[]): Promise<void> {
    const deadline = performance.now() + formingLimitMilliseconds;
    while (performance.now() < deadline) {
        const reports = await readReports(peers);
        const hasFormed = (report: PeerReport) =>
            report.members.filter(member => member.state === MemberState.Alive).length === peers.length - 1;
        if (reports.every(hasFormed)) {
            return;
        }
        await delay(1_000);
    }
    throw new Error(`the cell of ${peers.length} processes has not formed within 120 s`);
}

async function measureCell(members: number): Promise<Cost> {
    const peers = await launchPeers(members, heartbeatMilliseconds);
    try {
        await waitUntilFormed(peers);
        await delay(settleMilliseconds);
        const before = await readReports(peers);
        const start = performance.now();
        await delay(measuredMilliseconds);
        const seconds = (performance.now() - start) / 1_000;
        const after = await readReports(peers);
        return summarise(before, after, seconds);
    }
    finally {
        await Promise.all(peers.map(peer => peer.program.stop()));
    }
}

function summarise(before: readonly PeerReport[], after: readonly PeerReport[], seconds: number): Cost {
    const mean = (read: (report: PeerReport, earlier: PeerReport) => number) =>
        after.reduce((sum, report, index) => sum + read(report, before[index] ?? report), 0) / after.length;
    const suspicions = (report: PeerReport) =>
        (report.eventCounts["peer_suspect"] ?? 0) + (report.eventCounts["peer_dead"] ?? 0);
    return {
        members: after.length,
        bytesSentPerSecond: Math.round(mean((report, earlier) => report.bytesSent - earlier.bytesSent) / seconds),
        messagesSentPerSecond: round(mean((report, earlier) => report.messagesSent - earlier.messagesSent) / seconds),
        cpuPercent: round(
            mean((report, earlier) => report.cpuMilliseconds - earlier.cpuMilliseconds) / seconds / 10,
        ),
        heapKilobytes: Math.round(mean(report => report.heapBytes) / 1_024),
        residentMegabytes: round(mean(report => report.residentBytes) / 1_048_576),
        falseSuspicions: after.reduce(
            (sum, report, index) => sum + suspicions(report) - suspicions(before[index] ?? report),
            0,
        ),
    };
}

/** Returns the cost of one more member, as the slope of a least-squares fit. */
function fitSlope(costs: readonly Cost[], read: (cost: Cost) => number): number {
    const meanMembers = costs.reduce((sum, cost) => sum + cost.members, 0) / costs.length;
    const meanValue = costs.reduce((sum, cost) => sum + read(cost), 0) / costs.length;
    const covariance = costs.reduce((sum, cost) => sum + (cost.members - meanMembers) * (read(cost) - meanValue), 0);
    const variance = costs.reduce((sum, cost) => sum + (cost.members - meanMembers) ** 2, 0);
    return round(covariance / variance);
}

function round(value: number): number {
    return Number(value.toFixed(3));
}

const costs: Cost[] = [];
for (const members of values.members.split(",").map(Number)) {
    const cost = await measureCell(members);
    costs.push(cost);
    process.stdout.write(`${JSON.stringify(cost)}\n`);
}
const slopes = {
    perMember: {
        bytesSentPerSecond: fitSlope(costs, cost => cost.bytesSentPerSecond),
        messagesSentPerSecond: fitSlope(costs, cost => cost.messagesSentPerSecond),
        cpuPercent: fitSlope(costs, cost => cost.cpuPercent),
        heapKilobytes: fitSlope(costs, cost => cost.heapKilobytes),
        residentMegabytes: fitSlope(costs, cost => cost.residentMegabytes),
    },
};
process.stdout.write(`${JSON.stringify(slopes)}\n`);
