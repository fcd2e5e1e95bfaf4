import { FakeClock, MemoryEventLog } from "daisyturn-utils";
import {
    createForwardingConfigurationManager,
    createTargetViews,
    DutyAnswer,
    type EngineOrder,
    EngineStage,
    type ForwardingConfiguration,
    type ForwardService,
    type ListedTarget,
} from "daisyturn/forwarding";
import assert from "node:assert/strict";
import { test } from "node:test";
import { startEngineOrders } from "../forwarding/startEngineOrders.js";

const engine = { kvTokens: 100_000, bytesPerToken: 1, linkMegabits: 1, tokensPerEvent: 1 };
const scaling = {
    minEngines: 1,
    maxEngines: 42,
    bootMilliseconds: 4_000,
    zonePrices: new Map([["a", 1], ["b", 1.2]]),
    reclaimablePrice: 0.22,
};

/** Runs the orders of one service with 40 engines, whose prompts keep four of them busy, for ten seconds. */
async function runOrders(service: ForwardService, knowsFleet = true) {
    const clock = new FakeClock();
    const eventLog = new MemoryEventLog();
    const views = createTargetViews((...[, text]) => JSON.parse(text) as ListedTarget, clock, eventLog);
    const configuration: ForwardingConfiguration = {
        version: 1,
        routes: [],
        services: new Map([[service.name, service]]),
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 },
    };
    const configurationManager = createForwardingConfigurationManager({
        key: "k",
        decode: () => configuration,
        eventLog,
    });
    configurationManager.replace([{ key: "k", version: 1, text: "{}" }]);
    const engines = [...Array(40).keys()].map((index): ListedTarget => ({
        targetId: `e${index}`,
        name: `e${index}`,
        service: service.name,
        address: `10.0.0.${index}:80`,
        availabilityZone: index % 2 === 0 ? "a" : "b",
        slots: 16,
        isLeaving: false,
        softwareVersion: "",
        stage: index % 4 < 2 ? EngineStage.Prefill : EngineStage.Decode,
    }));
    views.targets.replace(engines.map(target => ({ key: target.name, version: 1, text: JSON.stringify(target) })));
    const orders: EngineOrder[] = [];
    const stop = new AbortController();
    const ordering = startEngineOrders({
        parts: { ...views, configurationManager },
        coordination: { knowsFleet: () => knowsFleet, listPeers: () => [] },
        calls: {
            order: async order => {
                orders.push(order);
                return DutyAnswer.Accepted;
            },
            current: () => ({
                name: "duties",
                fencingNumber: 1,
                deadline: () => Infinity,
                isHeld: () => true,
                fencingRow: { key: "k", version: 1 },
            }),
        },
        mayOrder: () => true,
        clock,
        eventLog,
        signal: stop.signal,
    });
    for (let passed = 0; passed < 10_000; passed += 100) {
        views.leastDemand.record(service.name, 400);
        await clock.advance(100);
    }
    stop.abort();
    await clock.advance(1_000);
    return { orders, numbers: ordering.list() };
}

test("engines of a service with bounds and prices are ordered by the work that this process knows", async () => {
    const { orders, numbers } = await runOrders({ name: "s", engine, scaling });
    assert.ok(orders.some(order => order.isReclaimable && order.desired > 0));
    assert.ok(orders.some(order => !order.isReclaimable && order.desired < 20));
    assert.equal(numbers.reduce((sum, { listed }) => sum + listed, 0), 40);
});

test("nothing is ordered for a service without bounds, or while the fleet's work is not known", async () => {
    assert.deepEqual((await runOrders({ name: "s", engine })).orders, []);
    assert.deepEqual((await runOrders({ name: "s", engine, scaling }, false)).orders, []);
});
