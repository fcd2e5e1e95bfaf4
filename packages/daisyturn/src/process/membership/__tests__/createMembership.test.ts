import { EventKind } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createFakeIdentity } from "../../../__fixtures__/fakePeerNetwork.js";
import { MemberState, PeerMethod } from "../../peers/index.js";
import { type CellProcess, createFakeCell } from "../__fixtures__/cells.js";
import { FalseSuspicion } from "../heartbeatMessage.js";

function liveIds(process: CellProcess): string[] {
    return process.membership.livePeers().map(peer => peer.processId).sort();
}

/** Starts five processes and returns them by name, with the cell's controls. */
async function createCellOfFive() {
    const cell = createFakeCell();
    const [p1, p2, p3, p4, p5] = await cell.startMany(5);
    assert.ok(p1 && p2 && p3 && p4 && p5);
    return { ...cell, p1, p2, p3, p4, p5 };
}

describe("createMembership", () => {
    it("discovers all members through one seed while the VM list is unavailable", async () => {
        const { p1, p5 } = await createCellOfFive();
        assert.deepEqual(liveIds(p1), ["p2", "p3", "p4", "p5"]);
        assert.deepEqual(liveIds(p5), ["p1", "p2", "p3", "p4"]);
        assert.ok(p5.membership.hasMajorityContact());
    });

    it("suspects a killed process, then considers it dead, but not ended without proof", async () => {
        const { clock, networks, p1, p2 } = await createCellOfFive();
        networks.remove("p2");
        await clock.advance(4_000);
        assert.equal(p1.stateOf("p2"), MemberState.Suspect);
        await clock.advance(6_000);
        assert.equal(p1.stateOf("p2"), MemberState.Dead);
        await clock.advance(3_600_000);
        assert.equal(p1.membership.hasEnded(p2.identity), false);
    });

    it("accepts as proof only two listings in a row that contain its VM and are later than the last contact", async () => {
        const { clock, networks, vmList, p1, p2 } = await createCellOfFive();
        const hasEnded = () => p1.membership.hasEnded(p2.identity);
        vmList.show("p1", "p3", "p4", "p5");
        await clock.advance(30_000);
        assert.equal(hasEnded(), false, "a heartbeat was received after the listing");
        networks.remove("p2");
        vmList.lag = 60_000;
        await clock.advance(60_000);
        assert.equal(hasEnded(), false, "the listing is older than the last heartbeat");
        vmList.lag = 0;
        vmList.show("p9");
        await clock.advance(20_000);
        assert.equal(hasEnded(), false, "the listing does not contain the VM of the process that reads it");
        vmList.show("p1", "p2");
        await clock.advance(20_000);
        assert.equal(hasEnded(), false, "the listing contains the VM");
        vmList.show("p1", "p3", "p4", "p5");
        await clock.advance(5_000);
        assert.equal(hasEnded(), false, "only one listing");
        await clock.advance(5_000);
        assert.equal(hasEnded(), true);
        assert.equal(p1.membership.hasEnded(p1.identity), false);
    });

    it("finds proof for an incarnation that it was never connected to", async () => {
        const { clock, vmList, p1 } = await createCellOfFive();
        const unknownIdentity = createFakeIdentity("p9");
        vmList.show("p1", "p2");
        assert.equal(p1.membership.hasEnded(unknownIdentity), false);
        await clock.advance(25_000);
        assert.equal(p1.membership.hasEnded(unknownIdentity), true);
    });

    it("keeps a process suspect but not dead while other members still have contact with it", async () => {
        const { clock, networks, p1, p2 } = await createCellOfFive();
        networks.cut("p2", "p1");
        await clock.advance(60_000);
        assert.equal(p1.stateOf("p2"), MemberState.Suspect);
        assert.equal(p1.eventLog.of(EventKind.PeerDead).length, 0);
        assert.equal(p2.stateOf("p1"), MemberState.Alive);
        networks.healAll();
        await clock.advance(2_000);
        assert.equal(p1.stateOf("p2"), MemberState.Alive);
    });

    it("distinguishes minority from majority in a partition, and recovers when it ends", async () => {
        const { clock, networks, p1, p3 } = await createCellOfFive();
        for (const one of ["p1", "p2"]) {
            ["p3", "p4", "p5"].forEach(other => networks.cutBoth(one, other));
        }
        await clock.advance(10_000);
        assert.deepEqual([liveIds(p1), p1.membership.hasMajorityContact()], [["p2"], false]);
        assert.deepEqual([liveIds(p3), p3.membership.hasMajorityContact()], [["p4", "p5"], true]);
        networks.healAll();
        await clock.advance(3_000);
        assert.deepEqual([liveIds(p1).length, liveIds(p3).length], [4, 4]);
        assert.ok(p1.membership.hasMajorityContact());
    });

    it("suspects nobody because of its own pause, and is notified that it was considered dead", async () => {
        const { clock, networks, p1, p2 } = await createCellOfFive();
        const falseSuspicions = new Set<FalseSuspicion>();
        p2.membership.onFalselySuspected(falseSuspicion => falseSuspicions.add(falseSuspicion));
        p2.clock.pause();
        networks.isolate("p2");
        await clock.advance(60_000);
        assert.equal(p1.stateOf("p2"), MemberState.Dead);
        networks.healAll();
        p2.clock.resume();
        await clock.advance(3_000);
        assert.equal(p1.stateOf("p2"), MemberState.Alive);
        assert.deepEqual([...falseSuspicions], [FalseSuspicion.Dead]);
        assert.equal(p2.eventLog.of(EventKind.PeerSuspect).length, 0);
        assert.equal(p2.membership.isPresumedEnded(), false);
    });

    it("notifies an incarnation that was proved to have ended, so that it stops acting", async () => {
        const { clock, networks, vmList, p1, p2 } = await createCellOfFive();
        networks.isolate("p2");
        vmList.show("p1", "p3", "p4", "p5");
        await clock.advance(60_000);
        assert.ok(p1.membership.hasEnded(p2.identity));
        networks.healAll();
        await clock.advance(3_000);
        assert.ok(p2.membership.isPresumedEnded());
        assert.notEqual(p1.stateOf("p2"), MemberState.Alive);
    });

    it("accepts a newer incarnation as proof only at the same address", async () => {
        const { clock, start, p1, p2, p3 } = await createCellOfFive();
        start(createFakeIdentity("p2", "p2-2"));
        start({ ...createFakeIdentity("p3", "p3-2"), peerAddress: "elsewhere:1", vmId: "vm-new" });
        await clock.advance(5_000);
        assert.deepEqual(liveIds(p1), ["p2", "p3", "p4", "p5"]);
        assert.equal(p1.membership.hasEnded(p2.identity), true);
        assert.equal(p1.membership.hasEnded(p3.identity), false);
        assert.equal(
            p1.membership.hasEnded(createFakeIdentity("p1", "p1-0")),
            true,
            "an earlier incarnation of this process",
        );
    });

    it("ignores late heartbeats of an earlier incarnation", async () => {
        const { clock, networks, start, p1 } = await createCellOfFive();
        networks.delay("p2", "p1", 20_000);
        await clock.advance(5_000);
        networks.delay("p2", "p1", 0);
        const later = start(createFakeIdentity("p2", "p2-2"));
        await clock.advance(60_000);
        const member = p1.membership.others().find(other => other.identity.processId === "p2");
        assert.deepEqual(member, { identity: later.identity, state: MemberState.Alive });
        assert.equal(later.membership.isPresumedEnded(), false);
    });

    it("accepts a leave message as proof, forwards it, and admits the process again after a restart", async () => {
        const { clock, networks, start, p1, p2, p3 } = await createCellOfFive();
        networks.cut("p2", "p1");
        p2.leave();
        await clock.advance(0);
        networks.remove("p2");
        await clock.advance(3_000);
        assert.deepEqual([p1.stateOf("p2"), p3.stateOf("p2")], [MemberState.Left, MemberState.Left]);
        assert.ok(p1.membership.hasEnded(p2.identity));
        networks.healAll();
        start(createFakeIdentity("p2", "p2-0"));
        await clock.advance(5_000);
        assert.equal(p1.stateOf("p2"), MemberState.Alive, "a restart whose wall clock was set back");
    });

    it("delays the return to alive of a member that is suspected repeatedly", async () => {
        const { clock, networks, p1 } = await createCellOfFive();
        const secondsUntilAlive: number[] = [];
        for (let round = 0; round < 5; round++) {
            networks.isolate("p2");
            await clock.advance(10_000);
            networks.healAll();
            let seconds = 0;
            while (p1.stateOf("p2") !== MemberState.Alive && seconds < 60) {
                await clock.advance(1_000);
                seconds += 1;
            }
            secondsUntilAlive.push(seconds);
        }
        const [first, , , fourth, fifth] = secondsUntilAlive;
        assert.ok(first! <= 2 && fourth! > first! && fifth! > fourth!, String(secondsUntilAlive));
    });

    it("has no majority when it starts partitioned, unless the VM list contains no other seed", async () => {
        const { clock, vmList, start } = createFakeCell();
        const partitioned = start(createFakeIdentity("p1"), { seeds: ["p1:1", "p2:1", "p3:1"] });
        await clock.advance(60_000);
        assert.equal(partitioned.membership.hasMajorityContact(), false);
        vmList.show("p1");
        await clock.advance(10_000);
        assert.equal(partitioned.membership.hasMajorityContact(), true);
    });

    it("discovers members through the VM list", async () => {
        const { clock, vmList, start } = createFakeCell();
        vmList.show("p1", "p2");
        const options = { seeds: [], readPeerAddress: ({ address }: { address: string; }) => address };
        const [p1] = ["p1", "p2"].map(name => start(createFakeIdentity(name), options));
        await clock.advance(6_000);
        assert.deepEqual(p1 && liveIds(p1), ["p2"]);
    });

    it("ignores malformed heartbeats and queries", async () => {
        const { clock, p1, p2 } = await createCellOfFive();
        for (const parameters of [{}, { view: 1 }, { members: [{}] }, { view: "x", digests: { a: 1 } }]) {
            p2.network.notify("p1", PeerMethod.Heartbeat, parameters);
            await p2.network.request("p1", PeerMethod.ConfirmSuspicion, parameters, clock.monotonicNow() + 100);
        }
        await clock.advance(5_000);
        assert.deepEqual(liveIds(p1), ["p2", "p3", "p4", "p5"]);
    });

    it("sends digests with heartbeats when they change, and repeats unchanged ones", async () => {
        const { clock, networks, p1, p2 } = await createCellOfFive();
        const received: string[] = [];
        let generation = 1;
        p1.membership.contributeDigest("configuration", () => ({ generation }));
        p1.membership.contributeDigest("huge", () => ({ text: "a".repeat(3_000) }));
        p2.membership.onDigest(
            "configuration",
            (from, digest) => received.push(`${from.processId} ${digest["generation"]}`),
        );
        p2.membership.onDigest("huge", () => received.push("huge"));
        await clock.advance(2_000);
        generation = 2;
        await clock.advance(6_000);
        assert.deepEqual(received, ["p1 1", "p1 2"]);
        await clock.advance(10_000);
        assert.deepEqual(received, ["p1 1", "p1 2", "p1 2"]);
        const withDigest = networks.sent.filter(message => message.to === "p2" && message.parameters["digests"]);
        assert.equal(withDigest.length, 3);
        assert.equal(p1.eventLog.of(EventKind.Fault).length, 1);
        p2.network.disconnect("p1:1");
        p2.network.connect("p1:1");
        await clock.advance(500);
        assert.equal(received.length, 4, "sent again after reconnection");
    });
});
