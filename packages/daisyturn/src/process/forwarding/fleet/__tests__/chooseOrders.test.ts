import assert from "node:assert/strict";
import { test } from "node:test";
import { scaling, zones } from "../__fixtures__/createFleetScene.js";
import { chooseOrders, type FleetView, OrderReason } from "../chooseOrders.js";
import { EngineKind, type FleetNumbers } from "../fleetNumbers.js";
import { forecastNeeds } from "../forecastNeeds.js";

const work = { prefill: 6, decode: 8 };
const needs = forecastNeeds({ mean: { ...work, firstReads: 0 }, recent: work, cacheEngines: 0 });

function createFleet(regular: number, reclaimable = 0): FleetNumbers {
    return new Map(zones.map(zone => [zone, { regular, reclaimable }]));
}

function createView(fleet: FleetNumbers, changes: Partial<FleetView> = {}): FleetView {
    return {
        scaling,
        zones: zones.map(zone => ({ zone, share: 1 / 3, available: { regular: Infinity, reclaimable: Infinity } })),
        ordered: fleet,
        serving: fleet,
        stages: (zone, kind) => {
            const count = fleet.get(zone)?.[kind] ?? 0;
            return { prefill: Math.floor(count / 2), decode: Math.ceil(count / 2) };
        },
        needs,
        mayReplace: true,
        needsBeforeReturn: needs,
        ...changes,
    };
}

const countReturned = (view: FleetView) =>
    chooseOrders(view)
        .filter(({ reason }) => reason === OrderReason.Surplus)
        .reduce((sum, { zone, kind, desired }) => sum + view.ordered.get(zone)![kind] - desired, 0);

test("at most a quarter of the engines is given back at a time", () => {
    assert.equal(countReturned(createView(createFleet(21))), 15);
});

test("nothing is given back while the demand was not measured for long enough, or is not known", () => {
    const view = createView(createFleet(21));
    assert.deepEqual(chooseOrders({ ...view, mayReplace: false, needsBeforeReturn: undefined }), []);
    const early = chooseOrders({ ...view, needsBeforeReturn: undefined });
    assert.ok(early.length > 0 && early.every(({ reason }) => reason === OrderReason.Replacement));
    assert.ok(early.every(({ zone, kind, desired }) => desired > view.ordered.get(zone)![kind]));
    assert.deepEqual(chooseOrders({ ...view, needs: undefined, needsBeforeReturn: undefined }), []);
});

test("engines are given back only when those that replace them serve", () => {
    const ordered = createFleet(8, 9);
    const view = createView(ordered, { serving: createFleet(8), stages: createView(createFleet(8)).stages });
    assert.equal(countReturned(view), 0);
    assert.ok(countReturned(createView(ordered)) > 0);
});

test("a stage keeps its reserve where most of the engines given back may be of that stage", () => {
    const view = createView(createFleet(21));
    const stages: FleetView["stages"] = (zone, kind) => {
        const count = kind === EngineKind.Regular ? 21 : 0;
        const prefill = zone === "b" ? Math.min(count, 20) : 0;
        return { prefill, decode: count - prefill };
    };
    const inB = chooseOrders({ ...view, stages }).find(order =>
        order.zone === "b" && order.kind === EngineKind.Regular
    );
    assert.ok(inB && inB.desired >= 12, "20 engines prefill, all in this zone, and 10.5 must remain");
});

test("nothing is given back that may leave a stage without what it needs now", () => {
    const view = createView(createFleet(21));
    const stages: FleetView["stages"] = (zone, kind) => {
        const count = kind === EngineKind.Regular ? 21 : 0;
        return { prefill: Math.min(count, 2), decode: Math.max(0, count - 2) };
    };
    assert.equal(countReturned({ ...view, stages }), 0, "6 engines prefill where 7.8 are needed");
});

test("a shortage is ordered at once, before enough demand was measured to give engines back", () => {
    const orders = chooseOrders(createView(createFleet(4), { needsBeforeReturn: undefined }));
    assert.ok(orders.length > 0);
    assert.ok(orders.every(({ reason }) => reason === OrderReason.Shortage));
    assert.ok(orders.every(({ kind }) => kind === EngineKind.Reclaimable), "the cheapest kind that risk allows");
});

test("too many reclaimable engines in one zone are a shortage", () => {
    const fleet = new Map([...createFleet(2), ["a", { regular: 2, reclaimable: 26 }]] as const);
    assert.ok(chooseOrders(createView(fleet, { needsBeforeReturn: undefined })).length > 0);
});

test("a zone below its minimum is raised while the demand is not known", () => {
    const fleet = new Map([...createFleet(2), ["b", { regular: 0, reclaimable: 0 }]] as const);
    assert.deepEqual(chooseOrders(createView(fleet, { needs: undefined, needsBeforeReturn: undefined })), [
        { zone: "b", kind: EngineKind.Regular, desired: 1, reason: OrderReason.Shortage },
    ]);
});
