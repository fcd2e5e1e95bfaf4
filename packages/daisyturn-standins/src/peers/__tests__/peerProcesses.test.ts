import { MemberState } from "daisyturn";
import assert from "node:assert/strict";
import { it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { launchPeers, type PeerProgram } from "../launchPeers.js";
import type { PeerReport } from "../peerReport.js";

const heartbeatMilliseconds = 200;
const reportTimeoutMilliseconds = 60_000;

/** Polls a process's report until `isWanted` returns true for it. */
async function waitForReport(peer: PeerProgram, isWanted: (report: PeerReport) => boolean): Promise<PeerReport> {
    const deadline = performance.now() + reportTimeoutMilliseconds;
    for (;;) {
        const report = await peer.report();
        if (isWanted(report)) {
            return report;
        }
        assert.ok(performance.now() < deadline, `${peer.id} is not in the expected state: ${JSON.stringify(report)}`);
        await delay(50);
    }
}

const reportsMember = (processId: string, state: MemberState) => (report: PeerReport) =>
    report.members.some(member => member.processId === processId && member.state === state);
const hasFormed = (report: PeerReport) =>
    report.isInService && report.members.filter(member => member.state === MemberState.Alive).length === 2;

it("detects paused, resumed, killed and leaving processes while the store and the VM list are down", async context => {
    const peers = await launchPeers(3, heartbeatMilliseconds);
    context.after(() => Promise.all(peers.map(peer => peer.program.kill())));
    const [p1, p2, p3] = peers;
    assert.ok(p1 && p2 && p3);
    await Promise.all(peers.map(peer => waitForReport(peer, hasFormed)));

    const countExits = (report: PeerReport) => report.eventCounts["out_of_service"] ?? 0;
    const exitsBefore = countExits(await p2.report());
    p2.program.pause();
    await waitForReport(p1, reportsMember("p2", MemberState.Dead));
    await waitForReport(p3, reportsMember("p2", MemberState.Dead));
    p2.program.resume();
    await waitForReport(p1, reportsMember("p2", MemberState.Alive));
    const resumed = await waitForReport(p2, report => hasFormed(report) && report.misjudgements.length > 0);
    assert.ok(resumed.misjudgements.includes("dead"));
    assert.ok(countExits(resumed) > exitsBefore, "a resumed process must leave service until it has contact");

    await p2.program.kill();
    await waitForReport(p1, reportsMember("p2", MemberState.Dead));
    await waitForReport(p1, report => report.isInService);
    await p3.program.stop();
    await waitForReport(p1, reportsMember("p3", MemberState.Left));
    await waitForReport(p1, report => !report.isInService);
});
