import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDemand, createLongPrompt, createShortPrompt, engineService } from "../../__fixtures__/placementBench.js";
import type { DecisionRequest } from "../../placement/decidePrompt.js";
import { TargetEvidence } from "../../targets/createTargetHealth.js";
import { createFleet, type Fleet, type FleetProcess } from "../__fixtures__/createFleet.js";

const kvTokens = engineService.engine?.kvTokens ?? 0;
const guide = [{ partId: "guide", tokens: 9_000 }, { partId: "own", tokens: 10 }];

function createRequest(prompt = createShortPrompt("own"), availabilityZone = "zone-0"): DecisionRequest {
    const demand = createDemand(prompt, { availabilityZone });
    return { route: "ask", demand, patience: 2_000, isUnderserved: () => false, areLongestUnderserved: () => false };
}

/** Requests a decision and begins its prefill at the chosen engine, which counts as load immediately. */
async function place({ clock }: Fleet, process: FleetProcess, request = createRequest()) {
    const deciding = process.coordination.decisions.decide(request);
    await clock.advance(50);
    const decision = await deciding;
    assert.ok(decision);
    const prefillStep = decision.placement.prefill ?? decision.placement.decode;
    const work = process.loads.begin(prefillStep.target.targetId, {
        work: prefillStep.work,
        isDeferred: decision.placement.isDeferred,
        tokens: request.demand.prompt.promptTokens,
    });
    return { decision, engine: prefillStep.target.targetId, work };
}

describe("a group of processes", () => {
    it("has one coordinator, which knows the load of its group and, a little later, that of other groups", async () => {
        const fleet = createFleet(60, 3);
        await fleet.clock.advance(6_000);
        const coordinators = fleet.listCoordinators();
        assert.deepEqual(coordinators.map(({ self }) => self.availabilityZone).sort(), ["zone-0", "zone-1", "zone-2"]);
        const near = coordinators.find(({ self }) => self.availabilityZone === "zone-0");
        const others = coordinators.filter(coordinator => coordinator !== near);
        const member = fleet.processes.find(process => process.self.availabilityZone === "zone-0" && process !== near);
        assert.ok(near && member);
        const work = member.loads.begin("engine", { work: 80, isDeferred: false, tokens: 500 });
        member.caches.record("engine", guide, kvTokens);
        await fleet.clock.advance(150);
        assert.equal(near.loads.wait("engine", false), 80);
        assert.equal(near.loads.tokens("engine"), 500);
        assert.equal(near.caches.keptTokens("engine", guide), 9_000);
        await fleet.clock.advance(250);
        others.forEach(({ loads }) => assert.equal(loads.wait("engine", false), 80));
        await fleet.clock.advance(3_000);
        others.forEach(({ loads }) =>
            assert.equal(loads.wait("engine", false), 80, "does not expire before the next report")
        );
        work.end();
        await fleet.clock.advance(400);
        [near, ...others].forEach(({ loads }) => assert.equal(loads.wait("engine", false), 0));
        await fleet.stop();
    });

    it("reports to the coordinators of other groups which engines cache the parts of its prompts", async () => {
        const fleet = createFleet(60, 3);
        await fleet.clock.advance(6_000);
        const member = fleet.processes[10];
        assert.ok(member);
        const { engine } = await place(fleet, member, createRequest(createLongPrompt("guide", "own"), "zone-1"));
        await fleet.clock.advance(500);
        const parts = createLongPrompt("guide", "other").parts;
        fleet.listCoordinators().forEach(({ caches }) => assert.equal(caches.keptTokens(engine, parts), 13_000));
        await fleet.stop();
    });

    it("places prompts that arrive at different processes at the same time on different engines", async () => {
        const fleet = createFleet(9, 3);
        await fleet.clock.advance(6_000);
        const requests = fleet.processes.slice(0, 6).map(process =>
            process.coordination.decisions.decide(
                createRequest(createLongPrompt(`guide-${process.self.peerId}`, "own")),
            )
        );
        await fleet.clock.advance(50);
        const prefillEngines = (await Promise.all(requests)).map(decision =>
            decision?.placement.prefill?.target.targetId
        );
        assert.ok(new Set(prefillEngines).size >= 5, prefillEngines.join(" "));
        await fleet.stop();
    });

    it("counts a placement once: first as answered, then as reported by its process, and not after its end", async () => {
        const fleet = createFleet(9, 3);
        await fleet.clock.advance(6_000);
        const [coordinator] = fleet.listCoordinators();
        const member = fleet.processes.find(process => process !== coordinator);
        assert.ok(coordinator && member);
        const { engine, work, decision } = await place(fleet, member, createRequest(createLongPrompt("guide", "own")));
        const prefillWork = Math.round(decision.placement.prefill?.work ?? 0);
        assert.ok(prefillWork > 100);
        assert.equal(Math.round(coordinator.loads.wait(engine, false)), prefillWork);
        await fleet.clock.advance(300);
        assert.equal(Math.round(coordinator.loads.wait(engine, false)), prefillWork);
        work.end();
        await fleet.clock.advance(300);
        assert.equal(coordinator.loads.wait(engine, false), 0);
        await fleet.stop();
    });

    it("immediately closes engines that are about to change at all processes", async () => {
        const fleet = createFleet(60, 3);
        await fleet.clock.advance(6_000);
        const first = fleet.processes.find(({ coordination }) => coordination.isFleetCoordinator());
        assert.ok(first);
        first.closed.close("engine", fleet.clock.monotonicNow() + 8_000);
        await fleet.clock.advance(50);
        assert.ok(fleet.processes.every(({ closed }) => closed.isClosed("engine")));
        assert.ok(first.coordination.closingReportInterval() < 400);
        first.closed.reopen("engine");
        await fleet.clock.advance(8_500);
        assert.ok(fleet.processes.every(({ closed }) => !closed.isClosed("engine")));
        await fleet.stop();
    });

    // Guards against an engine that stays closed until its closing expires, although it has been reopened.
    for (const [count, zones] of [[9, 4], [60, 3]] as const) {
        it(`reopens an engine at all ${count} processes when the process that closed it reopens it`, async () => {
            const fleet = createFleet(count, zones);
            await fleet.clock.advance(6_000);
            const first = fleet.processes.find(({ coordination }) => coordination.isFleetCoordinator());
            assert.ok(first);
            first.closed.close("engine", fleet.clock.monotonicNow() + 8_000);
            first.closed.close("other", fleet.clock.monotonicNow() + 8_000);
            await fleet.clock.advance(3_600);
            first.closed.reopen("engine");
            assert.equal(first.closed.isClosed("engine"), false);
            await fleet.clock.advance(50);
            const isClosedByProcess = () => fleet.processes.map(({ closed }) => closed.isClosed("engine"));
            assert.ok(!isClosedByProcess().includes(true), "reopened with the first message");
            assert.ok(fleet.processes.every(({ closed }) => closed.isClosed("other")));
            await fleet.clock.advance(2_000);
            assert.ok(!isClosedByProcess().includes(true), "not closed again by relayed lists");
            await fleet.stop();
        });
    }

    // Guards against an engine that stays closed at some processes because the message that reopens it was lost.
    it("reopens an engine at processes that missed the first message about it", async () => {
        const fleet = createFleet(60, 3);
        await fleet.clock.advance(6_000);
        const first = fleet.processes.find(({ coordination }) => coordination.isFleetCoordinator());
        assert.ok(first);
        first.closed.close("engine", fleet.clock.monotonicNow() + 8_000);
        await fleet.clock.advance(1_000);
        fleet.setLink(from => from !== first.self);
        first.closed.reopen("engine");
        await fleet.clock.advance(100);
        assert.ok(fleet.processes.some(({ closed }) => closed.isClosed("engine")));
        fleet.setLink(() => true);
        await fleet.clock.advance(1_500);
        assert.ok(fleet.processes.every(({ closed }) => !closed.isClosed("engine")));
        await fleet.stop();
    });

    // Guards against the planning process detecting a dead engine only when its own calls to it fail.
    it("reports failing targets of any process to the process that plans, until they answer again", async () => {
        for (const [count, zones] of [[9, 4], [60, 3]] as const) {
            const fleet = createFleet(count, zones);
            await fleet.clock.advance(6_000);
            const planner = fleet.processes.find(({ coordination }) => coordination.isFleetCoordinator());
            const member = fleet.processes.findLast(({ self, coordination }) =>
                self.availabilityZone !== planner?.self.availabilityZone && !coordination.isCoordinator()
            );
            assert.ok(planner && member);
            member.health.record("engine", TargetEvidence.Unreachable);
            member.loads.begin("other", { work: 5, isDeferred: false, tokens: 1 }).end();
            await fleet.clock.advance(1_300);
            assert.equal(planner.health.isFailing("engine"), true, `${count} processes`);
            member.health.record("engine", TargetEvidence.Answered);
            await fleet.clock.advance(6_500);
            fleet.processes.forEach(({ health }) => assert.equal(health.isFailing("engine"), false));
            await fleet.stop();
        }
    });

    // Guards against processes that stay undiscoverable after the store has lost their entries.
    it("rewrites the entries of its processes on request, even while a coordinator is reachable", async () => {
        const fleet = createFleet(60, 3);
        await fleet.clock.advance(6_000);
        fleet.clearEntries();
        fleet.processes.forEach(({ coordination }) => coordination.refreshEntry());
        await fleet.clock.advance(50);
        assert.equal(fleet.listEntries().length, 60);
        const before = fleet.counts().registryCalls;
        const coordinators = fleet.listCoordinators();
        await fleet.clock.advance(1_000);
        assert.ok(fleet.counts().registryCalls - before <= 10, "no additional registry calls");
        assert.deepEqual(fleet.listCoordinators(), coordinators);
        assert.equal(coordinators.length, 3);
        await fleet.stop();
    });

    it("has exactly one process in the whole fleet that plans", async () => {
        const fleet = createFleet(60, 3);
        await fleet.clock.advance(6_000);
        assert.equal(fleet.processes.filter(({ coordination }) => coordination.isFleetCoordinator()).length, 1);
        await fleet.stop();
    });
});

describe("the loss of a coordinator", () => {
    const silence = { killed: true, frozen: false, "cut off": false };
    for (const [name, isEnded] of Object.entries(silence)) {
        it(`${name}: prompts are still placed, and by another coordinator within two seconds`, async () => {
            const fleet = createFleet(9, 3);
            await fleet.clock.advance(6_000);
            const [coordinator] = fleet.listCoordinators();
            const others = fleet.processes.filter(process => process !== coordinator);
            assert.ok(coordinator && others[0]);
            fleet.setLink((from, to) => ![from, to].includes(coordinator.self));
            if (isEnded) {
                coordinator.end();
            }
            for (let prompt = 0; prompt < 3; prompt++) {
                (await place(fleet, others[0])).work.end();
            }
            await fleet.clock.advance(2_000);
            const current = others.filter(({ coordination }) => coordination.isCoordinator());
            assert.equal(current.length, 1);
            const work = others[0].loads.begin("engine", { work: 80, isDeferred: false, tokens: 500 });
            await fleet.clock.advance(150);
            assert.equal(current[0]?.loads.wait("engine", false), 80, "it had reports of its members before the loss");
            work.end();
            if (!isEnded) {
                fleet.setLink(() => true);
                await fleet.clock.advance(3_000);
                assert.deepEqual(fleet.listCoordinators(), [coordinator]);
            }
            await fleet.stop();
        });
    }

    it("a whole zone except one process: the last one places prompts and reads the store's tables itself", async () => {
        const fleet = createFleet(60, 3);
        await fleet.clock.advance(6_000);
        const zone = fleet.processes.filter(({ self }) => self.availabilityZone === "zone-1");
        const last = zone.at(-1);
        assert.ok(last);
        zone.slice(0, -1).forEach(({ end }) => end());
        const lost = new Set(zone.slice(0, -1).map(({ self }) => self.peerId));
        fleet.setLink((from, to) => !lost.has(from.peerId) && !lost.has(to.peerId));
        (await place(fleet, last)).work.end();
        await fleet.clock.advance(6_000);
        assert.ok(last.coordination.isCoordinator());
        assert.ok(last.coordination.isReader());
        await fleet.stop();
    });

    it("a restart: the coordinator gets no requests before its members have reported their load", async () => {
        const fleet = createFleet(9, 3);
        await fleet.clock.advance(6_000);
        const [coordinator] = fleet.listCoordinators();
        assert.ok(coordinator);
        const index = fleet.processes.indexOf(coordinator);
        fleet.restart(index);
        await fleet.clock.advance(900);
        const others = fleet.processes.filter((...[, other]) => other !== index);
        assert.ok(others.every(process => !process.eventLog.events.some(({ fields }) => fields.peer === "none")));
        await fleet.clock.advance(4_000);
        assert.deepEqual(fleet.listCoordinators().map(({ self }) => self.peerId), [coordinator.self.peerId]);
        await fleet.stop();
    });
});

describe("datagrams", () => {
    it("are ignored if they are not valid messages of a peer", async () => {
        const { clock, processes, listeners, stop } = createFleet(2);
        await clock.advance(2_000);
        const texts = ["", "{", "[]", "null", "{\"method\":\"load\"}", "{\"method\":\"load\",\"params\":{\"from\":1}}"];
        texts.push(
            JSON.stringify({ method: "load", params: { from: "x", work: [["a"]], kept: [], demand: [], closed: [] } }),
            JSON.stringify({ method: "place", params: { from: "x", askId: 1, prompt: 5 } }),
            JSON.stringify({ method: "state", params: { from: "x", tables: 1, closed: [], candidates: [] } }),
            JSON.stringify({ method: "rows", params: { from: "x", table: "t", afterVersion: 0, version: 9, rows: 5 } }),
        );
        listeners.forEach(listener =>
            texts.forEach(text => listener(Buffer.from(text), { host: "10.0.0.9", port: 1 }))
        );
        assert.equal(processes[1]?.loads.calls("a"), 0);
        await stop();
    });

    it("stay bounded in number and size, regardless of the number of processes", async () => {
        for (const [count, zones] of [[3, 1], [9, 3], [70, 1], [70, 3], [195, 5]] as const) {
            const { clock, processes, counts, stop } = createFleet(count, zones);
            await clock.advance(5_000);
            const idleBefore = counts();
            await clock.advance(3_000);
            const idle = counts();
            const perSecond = (what: "near" | "far" | "farBytes", [from, to]: readonly [typeof idle, typeof idle]) =>
                (to[what] - from[what]) / count / 3;
            const atRest = perSecond("near", [idleBefore, idle]) + perSecond("far", [idleBefore, idle]);
            assert.ok(atRest <= 16, `${count} processes at rest: ${atRest} datagrams a second each`);
            assert.ok(
                idle.registryCalls <= count * 4,
                `${idle.registryCalls} calls to the registry of ${count} processes`,
            );
            processes.forEach(({ loads }) => {
                for (let engine = 0; engine < 20; engine++) {
                    loads.begin(`i-${engine}`, { work: 10, isDeferred: false, tokens: 300 });
                }
            });
            const before = counts();
            await clock.advance(3_000);
            const after = counts();
            const [near, far, farBytes] = (["near", "far", "farBytes"] as const).map(what =>
                perSecond(what, [before, after])
            ) as [number, number, number];
            assert.ok(near + far > 1, `${count} processes send nothing`);
            assert.ok(near + far <= 30, `${count} processes: ${near + far} datagrams a second each`);
            assert.ok(far <= (count < 20 ? 30 : 2), `${count} processes: ${far} datagrams a second to other zones`);
            assert.ok(farBytes <= (count < 20 ? 45_000 : 2_000), `${count} processes: ${farBytes} bytes a second`);
            await stop();
        }
    });
});
