import assert from "node:assert/strict";
import { test } from "node:test";
import { scaling, zones } from "../__fixtures__/createFleetScene.js";
import {
    countAfterZoneLoss,
    countEngines,
    countZone,
    EngineKind,
    type FleetNumbers,
    type KindNumbers,
} from "../fleetNumbers.js";
import { forecastNeeds } from "../forecastNeeds.js";
import { planNumbers, priceOfFleet } from "../planNumbers.js";

const needs = { total: 30, afterLoss: 18 };
const unlimited: KindNumbers = { regular: Infinity, reclaimable: Infinity };

function listZones(available: Partial<Record<string, KindNumbers>> = {}) {
    return zones.map(zone => ({ zone, share: 1 / 3, available: available[zone] ?? unlimited }));
}

function countKind(fleet: FleetNumbers, kind: EngineKind): number {
    return [...fleet.values()].reduce((sum, numbers) => sum + numbers[kind], 0);
}

test("reclaimable engines replace others as far as the loss of one zone leaves enough", () => {
    const plan = planNumbers(scaling, listZones(), needs);
    assert.ok(countEngines(plan) >= needs.total);
    assert.ok(countAfterZoneLoss(plan) >= needs.afterLoss);
    assert.ok(countKind(plan, EngineKind.Reclaimable) >= 24);
    const withoutRisk = planNumbers({ ...scaling, reclaimablePrice: undefined }, listZones(), needs);
    assert.ok(priceOfFleet(scaling, plan) < priceOfFleet(scaling, withoutRisk) / 2);
});

test("a zone keeps its limits and a part of the engines that matches its demand", () => {
    for (const total of [3, 10, 40, 90, 126, 200]) {
        const plan = planNumbers(scaling, listZones(), { total, afterLoss: Math.ceil(total * 0.6) });
        for (const numbers of plan.values()) {
            assert.ok(countZone(numbers) >= scaling.minEngines && countZone(numbers) <= scaling.maxEngines);
            assert.ok(countZone(numbers) >= Math.floor(Math.min(total, 126) / 6), `total ${total}`);
        }
        assert.ok(countEngines(plan) >= Math.min(total, 126));
    }
});

test("engines that can't be had in a zone are planned in another one or at a higher price", () => {
    const none: KindNumbers = { regular: 0, reclaimable: 0 };
    const withoutZone = planNumbers(scaling, listZones({ a: none }), needs);
    assert.equal(countZone(withoutZone.get("a")), 0);
    assert.ok(countEngines(withoutZone) >= needs.total && countAfterZoneLoss(withoutZone) >= needs.afterLoss);
    const regularOnly = { regular: Infinity, reclaimable: 0 };
    const withoutReclaimable = planNumbers(
        scaling,
        listZones({ a: regularOnly, b: regularOnly, c: regularOnly }),
        needs,
    );
    assert.equal(countKind(withoutReclaimable, EngineKind.Regular), needs.total);
});

test("the numbers leave enough engines for prefill beside the minimum of decode engines", () => {
    const work = { prefill: 20, decode: 1 };
    const { total } = forecastNeeds({ mean: { ...work, firstReads: 0 }, recent: work, cacheEngines: 0 });
    assert.ok(total * 0.7 >= 40, `${total}`);
});

test("prefill engines whose caches hold the shared parts in use are needed", () => {
    const work = { prefill: 2, decode: 2 };
    const few = forecastNeeds({ mean: { ...work, firstReads: 0 }, recent: work, cacheEngines: 0 }).total;
    const many = forecastNeeds({ mean: { ...work, firstReads: 0 }, recent: work, cacheEngines: 12 }).total;
    assert.ok(many - few >= 7);
});

// Guards against a fleet of twice its size after a start, when all engines read the shared parts of prompts at once.
test("first reads of shared parts need engines, but no reserve for a surge", () => {
    const work = { prefill: 6, decode: 4 };
    const forecast = (firstReads: number) => {
        const prefill = work.prefill + firstReads;
        const mean = { ...work, prefill, firstReads };
        return forecastNeeds({ mean, recent: { ...work, prefill }, cacheEngines: 0 });
    };
    const added = forecast(20).total - forecast(0).total;
    // The minimum of decode engines is three tenths of all.
    assert.ok(added >= 20 && added <= Math.ceil(20 * 1.1 / 0.7), `${added}`);
    assert.ok(forecast(20).afterLoss >= 32);
});
