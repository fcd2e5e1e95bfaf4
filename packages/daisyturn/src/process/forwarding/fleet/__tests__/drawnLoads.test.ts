import assert from "node:assert/strict";
import { test } from "node:test";
import { DutyAnswer } from "../../../../ports/duties/fleetDuties.js";
import { EngineStage } from "../../../../ports/listedTarget.js";
import { createFleetScene, type FleetScene, type FleetSceneOptions, zones } from "../__fixtures__/createFleetScene.js";
import { drawCalm, type DrawnLoad, drawSurge, drawSwings } from "../__fixtures__/drawnLoads.js";
import { sumWork } from "../forecastNeeds.js";

const seeds = [1, 2, 3];
/** An engine serves its callers by their aims up to this part of its capacity. */
const usablePart = 0.9;
const tick = 250;
const startMilliseconds = 30_000;
const runMilliseconds = 120_000;

/** Engines held offline: twice the mean work, as surges require, with the load 10 s before and after known. */
function boundAt(load: DrawnLoad, at: number): number {
    const times = [...Array(80).keys()].map(index => Math.max(0, at - 10_000 + index * tick));
    return times.reduce((sum, time) => sum + sumWork(load(time)), 0) / times.length * 2;
}

async function measure(
    load: DrawnLoad,
    options: FleetSceneOptions = {},
    during?: (at: number, scene: FleetScene) => void,
) {
    const scene = createFleetScene({ work: load, hasStagePlan: true, ...options });
    let at = 0;
    let late = 0;
    let lateByStage = 0;
    let work = 0;
    let paid = 0;
    let bound = 0;
    let least = Infinity;
    await scene.pass(runMilliseconds, (serving, engines) => {
        at += tick;
        const present = sumWork(load(at));
        work += present;
        late += Math.max(0, present - serving * usablePart);
        const { prefill, decode } = load(at);
        lateByStage += Math.max(0, prefill - scene.countStage(EngineStage.Prefill) * usablePart)
            + Math.max(0, decode - scene.countStage(EngineStage.Decode) * usablePart);
        least = Math.min(least, serving);
        if (at > startMilliseconds) {
            paid += engines;
            bound += boundAt(load, at);
        }
        during?.(at, scene);
    });
    const steady = scene.orders.filter(order => order.at > startMilliseconds);
    const perZone = zones.map(zone => steady.filter(order => order.availabilityZone === zone).length);
    const minutes = (runMilliseconds - startMilliseconds) / 60_000;
    await scene.end();
    return {
        scene,
        late: late / work,
        lateByStage: lateByStage / work,
        engineSeconds: paid / bound,
        ordersPerMinute: Math.max(...perZone) / minutes,
        least,
        orders: scene.orders.length,
    };
}

const loads: readonly (readonly [string, (seed: number) => DrawnLoad])[] = [
    ["a calm load", drawCalm],
    ["swings of 3 s", seed => drawSwings(seed, 3_000)],
    ["swings of 10 s", seed => drawSwings(seed, 10_000)],
    ["swings of 60 s", seed => drawSwings(seed, 60_000)],
    ["a surge of 2", seed => drawSurge(seed, 60_000, 80_000)],
];

for (const [name, draw] of loads) {
    test(`${name} has engines enough, without many more than offline and without a burst of orders`, async context => {
        for (const seed of seeds) {
            const { late, lateByStage, engineSeconds, ordersPerMinute, orders, least } = await measure(draw(seed), {
                seed,
            });
            context.diagnostic(
                JSON.stringify({ seed, late, lateByStage, engineSeconds, ordersPerMinute, orders, least }),
            );
            assert.ok(late < 1 / 200, `late ${late}`);
            assert.ok(engineSeconds < 1.4, `engine seconds ${engineSeconds}`);
            // The bound counts at steady load; a surge and its end are two changes of all zones more.
            assert.ok(ordersPerMinute <= (name.includes("surge") ? 12 : 6), `orders ${ordersPerMinute}`);
        }
    });
}

// Guards against numbers that leave one stage without engines. Swings of 60 s and surges are left to the plan of stages.
for (const newStage of [undefined, EngineStage.Prefill, EngineStage.Decode]) {
    test(`each stage has engines enough where new ones ${newStage ?? "alternate between prefill and decode"}`, async context => {
        for (const load of [drawCalm(1), drawSwings(2, 3_000), drawSwings(2, 10_000)]) {
            const { lateByStage, engineSeconds } = await measure(load, newStage && { newStage });
            context.diagnostic(JSON.stringify({ lateByStage, engineSeconds }));
            assert.ok(lateByStage < 1 / 200, `late ${lateByStage}`);
        }
    });
}

test("the loss of all reclaimable engines of a zone makes few callers late", async context => {
    for (const zone of zones) {
        let lost = 0;
        const { late, least, orders } = await measure(drawCalm(4), {}, (at, scene) => {
            if (at === 60_000) {
                lost = scene.countKind(zone, true);
                scene.reclaim(zone);
            }
        });
        context.diagnostic(JSON.stringify({ zone, lost, late, least, orders }));
        assert.ok(lost > 0, "the zone has reclaimable engines");
        assert.ok(late < 1 / 200, `late ${late}`);
    }
});

test("where no reclaimable engine can be had, the others serve", async context => {
    const answer: FleetSceneOptions["answer"] = order =>
        order.isReclaimable ? DutyAnswer.Rejected : DutyAnswer.Accepted;
    const { late, engineSeconds, orders } = await measure(drawCalm(5), { answer });
    context.diagnostic(JSON.stringify({ late, engineSeconds, orders }));
    assert.ok(late < 1 / 200);
    assert.ok(engineSeconds < 1.4);
});
