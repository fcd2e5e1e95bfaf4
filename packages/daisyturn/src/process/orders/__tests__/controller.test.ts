import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EngineRole, OrderKind } from "../../../ports/engine.js";
import { createOrderWorld } from "../__fixtures__/orderWorld.js";
import { type ChangeKind, type OrderRequest, OrderRequestState } from "../rows/orderRows.js";
import { chooseRequests } from "../steps/chooseRequests.js";

describe("createController", () => {
    it("drains, changes the role and returns the engine to service", async () => {
        const world = createOrderWorld({ checksFencingNumbers: true });
        await world.clock.advance(2_000);
        world.engine.startWork(4_000);
        const answer = await world.processes[1]!.controller.requestRoleChange("engine-1", EngineRole.Decode);
        assert.ok(answer.isOk);
        assert.ok(await world.advanceUntil(() => world.request()?.state === OrderRequestState.Done, 20_000));
        assert.deepEqual(world.engine.taken.map(one => one.order.kind), [
            OrderKind.Drain,
            OrderKind.ChangeRole,
            OrderKind.Resume,
        ]);
        assert.equal(world.engine.state().role, EngineRole.Decode);
        assert.deepEqual(world.engine.violations, []);
        await world.stop();
    });

    it("waits for calls of an entry VM in flight at the engine, even if the engine itself reports none", async () => {
        const world = createOrderWorld({ checksFencingNumbers: true });
        await world.clock.advance(2_000);
        const [one, other] = world.processes;
        const leave = other!.gate.enter("engine-1");
        await one!.controller.requestRoleChange("engine-1", EngineRole.Decode);
        await world.clock.advance(15_000);
        assert.deepEqual(world.engine.taken.map(taken => taken.order.kind), [OrderKind.Drain]);
        leave();
        assert.ok(await world.advanceUntil(() => world.request()?.state === OrderRequestState.Done, 20_000));
        assert.equal(other!.gate.isOpen("engine-1"), true);
        await world.stop();
    });

    it("does not wait indefinitely for an entry VM that does not answer", async () => {
        const world = createOrderWorld({ checksFencingNumbers: true });
        await world.clock.advance(2_000);
        world.peers.cutBoth("p1", "p2");
        await world.processes[0]!.controller.requestRoleChange("engine-1", EngineRole.Decode);
        assert.ok(await world.advanceUntil(() => world.request()?.state === OrderRequestState.Done, 20_000));
        await world.stop();
    });

    it("abandons a change rather than cut a stream that does not end", async () => {
        const world = createOrderWorld({ checksFencingNumbers: true });
        await world.clock.advance(2_000);
        world.engine.startWork(60_000);
        await world.processes[0]!.controller.requestRoleChange("engine-1", EngineRole.Decode);
        assert.ok(await world.advanceUntil(() => world.request()?.state === OrderRequestState.Failed, 40_000));
        const state = world.engine.state();
        assert.deepEqual([state.role, state.draining, state.runningStreams], [EngineRole.Mixed, false, 1]);
        assert.deepEqual(world.engine.violations, []);
        await world.stop();
    });
});

describe("chooseRequests", () => {
    it("shares loads by weight and otherwise keeps the order of arrival", () => {
        const request = (name: string, partner: string, kind: ChangeKind): OrderRequest => ({
            requestId: name,
            engineId: name,
            partner,
            kind,
            state: OrderRequestState.Requested,
            requestedAt: 0,
            deadline: 0,
        });
        const requests = [
            request("a1", "nyamata", OrderKind.LoadModel),
            request("a2", "nyamata", OrderKind.LoadModel),
            request("a3", "nyamata", OrderKind.LoadModel),
            request("b1", "jizdenka", OrderKind.LoadModel),
            request("b2", "jizdenka", OrderKind.ChangeRole),
        ];
        const choose = (freeChanges: number, freeLoads: number) =>
            chooseRequests(requests, { busyEngines: new Set(["a2"]), freeChanges, freeLoads }, {
                started: () => 0,
                weight: partner => partner === "nyamata" ? 1 : 3,
            }).map(one => one.requestId);
        assert.deepEqual(choose(9, 9), ["a1", "b1", "a3", "b2"]);
        assert.deepEqual(choose(9, 1), ["a1", "b2"]);
        assert.deepEqual(choose(1, 9), ["a1"]);
    });
});
