import { FakeClock, type JsonObject, MemoryEventLog } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ExchangePart, ProcessIdentity } from "../../peers/index.js";
import { requestDepth } from "../crashRecord.js";
import { createCrashEvidence } from "../createCrashEvidence.js";
import { shareCrashEvidence } from "../shareCrashEvidence.js";

const roundMilliseconds = 300;

function createIdentity(processId: string, incarnation = `${processId}-1`): ProcessIdentity {
    return { processId, incarnation, vmId: processId, availabilityZone: "zone-a", peerAddress: `${processId}:1` };
}

/** Processes that exchange their sections once a round. */
function createProcesses(count: number) {
    const clock = new FakeClock();
    const identities = Array.from({ length: count }, (value, index) => createIdentity(`entry-${index}`));
    const start = (index: number) => {
        const evidence = createCrashEvidence(clock, new MemoryEventLog());
        const parts: ExchangePart[] = [];
        const livePeers = () => identities.filter((peer, other) => other !== index);
        const exchange = { register: (part: ExchangePart) => void parts.push(part) };
        shareCrashEvidence({ evidence, exchange, membership: { livePeers }, clock });
        return { evidence, part: parts[0] as ExchangePart };
    };
    const processes = identities.map((identity, index) => start(index));
    /** @param isLost whether what a process sends in this round is lost */
    const exchange = async (isLost: (from: number) => boolean = () => false) => {
        const contents = processes.map(({ part }) => part.collect());
        contents.forEach((content, from) => {
            const others = processes.filter((process, to) => to !== from && content !== undefined && !isLost(from));
            others.forEach(({ part }) => part.receive(content as JsonObject, identities[from] as ProcessIdentity));
        });
        await clock.advance(roundMilliseconds);
        return contents;
    };
    const restart = (index: number) => {
        identities[index] = createIdentity(`entry-${index}`, `entry-${index}-2`);
        processes[index] = start(index);
    };
    const crash = (index: number, targetId: string) =>
        processes[index]?.evidence.recordCrash({
            targetId,
            endedAt: clock.monotonicNow(),
            uncertainty: 0,
            suspects: [{ fingerprint: "bad", chain: 1, depth: requestDepth, wasAnswered: false }],
        });
    const countAware = () => processes.filter(({ evidence }) => evidence.findListed("bad")).length;
    return { processes, exchange, restart, crash, countAware };
}

test("sends new records to all peers in the next round, and nothing while there are none", async () => {
    const { exchange, crash, countAware, processes } = createProcesses(3);
    assert.deepEqual(await exchange(), [undefined, undefined, undefined]);
    for (const index of [0, 1, 2]) {
        crash(index, `t${index}`);
        assert.equal(processes[index]?.part.isUrgent?.(), true);
        await exchange();
    }
    assert.equal(countAware(), 3);
});

// Guards against a process that runs the request because it started after the evidence was sent.
test("sends all records to a peer that has started anew", async () => {
    const { exchange, crash, countAware, restart } = createProcesses(3);
    for (const index of [0, 1, 2]) {
        crash(index, `t${index}`);
        await exchange();
    }
    restart(1);
    assert.equal(countAware(), 2);
    await exchange();
    await exchange();
    assert.equal(countAware(), 3);
});

test("sends all records again after a round was lost", async () => {
    const { exchange, crash, countAware } = createProcesses(3);
    crash(0, "t0");
    await exchange(from => from === 0);
    crash(1, "t1");
    await exchange(from => from === 1);
    crash(2, "t2");
    for (let round = 0; round < 4; round++) {
        await exchange();
    }
    assert.equal(countAware(), 3);
});
