import { FailureReason } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EngineRole, OrderKind } from "../../../ports/engine.js";
import { createHold } from "../../../version/__fixtures__/items.js";
import { HoldKind } from "../../../version/configurationItems.js";
import { createOrderWorld } from "../__fixtures__/orderWorld.js";
import { CallFault, CallKind } from "../__fixtures__/processHost.js";
import type { NewOrderRequest } from "../createOrderCommands.js";
import { OrderRequestState, OrderState, WithheldReason } from "../rows/orderRows.js";

const newRequest: NewOrderRequest = {
    requestId: "req-1",
    engineId: "engine-1",
    kind: OrderKind.ChangeRole,
    role: EngineRole.Decode,
    partner: "nyamata",
    operator: "op",
};

describe("createOrderCommands", () => {
    it("records a request once, returns its state if repeated, and refuses a second while one is open", async () => {
        const world = createOrderWorld({ checksFencingNumbers: true });
        const [one, other] = world.processes.map(process => process.commands);
        const [first, second] = await Promise.all([
            one!.requestOrder(newRequest),
            other!.requestOrder({ ...newRequest, requestId: "req-2", partner: "jizdenka", role: EngineRole.Prefill }),
        ]);
        assert.deepEqual([first, second].map(answer => answer.isOk), [true, false]);
        assert.ok((await other!.requestOrder(newRequest)).isOk);
        await world.advanceUntil(() => world.request()?.state === OrderRequestState.Done, 20_000);
        const repeated = await other!.requestOrder(newRequest);
        assert.equal(repeated.isOk && repeated.value.state, OrderRequestState.Done);
        const stolen = await other!.requestOrder({ ...newRequest, partner: "jizdenka" });
        assert.equal(stolen.isErr && stolen.error.reason, FailureReason.Conflict);
        await world.stop();
    });

    for (
        const { holdKind, own, isAllowed } of [
            { holdKind: HoldKind.Drain, own: true, isAllowed: true },
            { holdKind: HoldKind.Withdraw, own: true, isAllowed: false },
            { holdKind: HoldKind.Replace, own: true, isAllowed: false },
            { holdKind: HoldKind.Drain, own: false, isAllowed: false },
        ]
    ) {
        it(`${isAllowed ? "takes" : "refuses"} a request while ${own ? "the same" : "another"} partner has a ${holdKind}`, async () => {
            const world = createOrderWorld({ checksFencingNumbers: true });
            await world.setHold(createHold(own ? "nyamata" : "jizdenka", "engine-1", holdKind), true);
            const answer = await world.processes[0]!.commands.requestOrder(newRequest);
            assert.equal(answer.isOk, isAllowed);
            await world.stop();
        });
    }

    it("shows withheld orders, and continues after an operator has vouched for the end of the sender", async () => {
        const world = createOrderWorld({ checksFencingNumbers: false });
        await world.clock.advance(2_000);
        const holder = world.processes.find(one => one.leaseManager.current())!;
        const other = world.processes.find(one => one !== holder)!;
        const early = await other.commands.vouch(vouchFor(holder.identity.incarnation));
        assert.equal(early.isErr && early.error.reason, FailureReason.NotFound);
        await other.commands.requestOrder(newRequest);
        holder.host.failNext(CallKind.EngineOrder, CallFault.KillBefore);
        await world.clock.advance(60_000);
        const shown = (await other.commands.listEngineOrders()).unwrapOr([]);
        assert.equal(shown[0]?.withheld?.reason, WithheldReason.SenderMayBeAlive);
        assert.equal(
            other.gate.isOpen("engine-1"),
            true,
            "the engine serves while it is uncertain whether a drain will arrive",
        );
        assert.equal(world.engine.taken.length, 0);
        assert.ok((await other.commands.vouch(vouchFor(holder.identity.incarnation))).isOk);
        assert.ok(await world.advanceUntil(() => !world.orders().change, 60_000));
        assert.deepEqual(world.engine.violations, []);
        const lease = (await other.commands.showLease()).unwrapOr(undefined);
        assert.equal(lease?.holder.processId, other.identity.processId);
        await world.stop();
    });

    it("rejects a vouch for the end of an incarnation that is alive", async () => {
        const world = createOrderWorld({ checksFencingNumbers: false });
        await world.clock.advance(2_000);
        const holder = world.processes.find(one => one.leaseManager.current())!;
        const other = world.processes.find(one => one !== holder)!;
        await other.commands.requestOrder(newRequest);
        holder.host.failNext(CallKind.EngineOrder, CallFault.LoseCall);
        await world.advanceUntil(() => world.orders().last?.state === OrderState.Sent, 5_000);
        const answer = await other.commands.vouch(vouchFor(holder.identity.incarnation));
        assert.equal(answer.isErr && answer.error.reason, FailureReason.Conflict);
        await world.stop();
    });
});

function vouchFor(incarnation: string) {
    return { incarnation, partner: "nyamata", operator: "op", note: "VM is off" };
}
