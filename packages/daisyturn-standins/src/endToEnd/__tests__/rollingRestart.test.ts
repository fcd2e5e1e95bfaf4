import { EventKind } from "daisyturn-utils";
import logfmt from "logfmt";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { CallOutcome } from "../../load/callerClient.js";
import { runMixedLoad } from "../../load/runMixedLoad.js";
import { summarizeLoad } from "../../load/summarizeLoad.js";
import { createRunningFleet, type RunningFleet } from "../__fixtures__/createRunningFleet.js";

const requestCount = 360;
const requestsPerSecond = 60;

async function restartEachInTurn(running: RunningFleet): Promise<void> {
    const { fleet, balancer, plan } = running;
    for (let index = 0; index < plan.entryCount; index++) {
        const exitCode = await fleet.entries[index]?.program.stop();
        assert.equal(exitCode, 0);
        await fleet.restartEntry(index);
        await balancer.waitForReady(plan.entryCount);
    }
}

/**
 * Lists departures that a peer recorded before the same incarnation had released its lease. A departure proves that the
 * incarnation sends nothing more, so it must come last.
 */
function listEarlyDepartures(running: RunningFleet): string[] {
    const lines = running.fleet.entries
        .flatMap(entry => readFileSync(entry.logFile, "utf8").split("\n"))
        .map(line => logfmt.parse(line) as Readonly<Record<string, string>>);
    const releases = lines.filter(line => line["event"] === EventKind.LeaseReleased);
    assert.ok(releases.length > 0, "no lease was released");
    return lines
        .filter(line => line["event"] === EventKind.PeerLeft)
        .filter(left =>
            releases.some(release =>
                isSameIncarnation(release, left) && (left["stamp"] ?? "") < (release["stamp"] ?? "")
            )
        )
        .map(left => `${left["peer"]} left at ${left["stamp"]}`);
}

function isSameIncarnation(release: Readonly<Record<string, string>>, left: Readonly<Record<string, string>>): boolean {
    return release["incarnation"] === left["peerIncarnation"];
}

describe("planned stop of every entry process in turn under load", () => {
    it("returns no errors to callers: every request gets a complete answer on the first attempt", async () => {
        const running = await createRunningFleet();
        try {
            let restarted: Promise<void> | undefined;
            const records = await runMixedLoad({
                seed: 11,
                requestCount,
                requestsPerSecond,
                entryUrls: running.balancer.readyUrls,
                maximumTries: 1,
                afterSending: number => number === 30 ? restarted = restartEachInTurn(running) : undefined,
            });
            await restarted;
            const failed = records.filter(({ record }) => record.outcome !== CallOutcome.Answered);
            assert.deepEqual(failed.map(({ kind, record }) => `${kind}: ${record.reason ?? "cut"}`), []);
            const summary = await summarizeLoad(running.fleet, requestCount, records);
            assert.deepEqual(
                { answered: summary.answered, wrong: summary.wrong, doubled: summary.doubled, lost: summary.lost },
                { answered: requestCount, wrong: 0, doubled: 0, lost: 0 },
            );
            assert.deepEqual(listEarlyDepartures(running), []);
        }
        finally {
            await running.close();
        }
    });
});
