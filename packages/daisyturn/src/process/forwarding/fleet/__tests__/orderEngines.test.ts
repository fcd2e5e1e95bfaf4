import { EventKind } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DutyAnswer } from "../../../../ports/duties/fleetDuties.js";
import { createFleetScene, type FleetScene, zones } from "../__fixtures__/createFleetScene.js";

const work = { prefill: 6, decode: 8 };
const steady = () => work;
/** Time in which a fleet of 63 engines has settled at the steady work. */
const settledMilliseconds = 30_000;

const countReclaimable = (scene: FleetScene) => zones.reduce((sum, zone) => sum + scene.countKind(zone, true), 0);
const countRegular = (scene: FleetScene) => zones.reduce((sum, zone) => sum + scene.countKind(zone, false), 0);
const countAll = (scene: FleetScene) =>
    zones.reduce((sum, zone) => sum + scene.countKind(zone, false) + scene.countKind(zone, true), 0);

test("the first engines are given back after four seconds of traffic, and not before", async () => {
    const scene = createFleetScene({ work: at => at < 16_000 ? { prefill: 0, decode: 0 } : work });
    await scene.pass(19_750);
    assert.equal(countRegular(scene), 63);
    assert.ok(scene.orders.length > 0, "cheaper engines are ordered before that");
    assert.ok(scene.orders.every(({ isReclaimable, at }) => isReclaimable && at >= 17_000));
    await scene.pass(4_000);
    assert.ok(countRegular(scene) < 63);
    await scene.end();
});

test("nothing is ordered without the lease", async () => {
    const scene = createFleetScene({ work: steady });
    scene.setHeld(false);
    await scene.pass(settledMilliseconds);
    assert.deepEqual(scene.orders, []);
    assert.deepEqual(scene.list(), []);
    await scene.end();
});

test("while the work is not known, nothing is given back, and afterwards only once it was measured again", async () => {
    let isKnown = false;
    const scene = createFleetScene({ work: () => isKnown ? work : undefined });
    await scene.pass(settledMilliseconds);
    assert.deepEqual(scene.orders, []);
    isKnown = true;
    await scene.pass(2_000);
    isKnown = false;
    await scene.pass(2_000);
    isKnown = true;
    await scene.pass(3_500);
    assert.equal(countRegular(scene), 63);
    assert.ok(countReclaimable(scene) > 0);
    await scene.pass(settledMilliseconds);
    assert.ok(countAll(scene) < 40);
    await scene.end();
});

test("a new holder begins with the listed engines, and measures before it gives any back", async () => {
    const scene = createFleetScene({ work: steady });
    await scene.pass(5_000);
    const before = scene.orders.length;
    scene.renewLease(true);
    await scene.pass(3_500);
    assert.ok(scene.orders.slice(before).every(order => !order.isReclaimable ? false : order.desired > 0));
    await scene.pass(settledMilliseconds);
    assert.ok(countAll(scene) >= 29 && countAll(scene) < 40, `${countAll(scene)} engines`);
    await scene.end();
});

// Guards against a holder that was cut from the store for seconds and then ordered nothing for the time of a start.
test("a process that acquires the lease again, with no holder in between, still knows its orders", async () => {
    const scene = createFleetScene({ work: steady });
    await scene.pass(settledMilliseconds);
    scene.setHeld(false);
    await scene.pass(4_000);
    scene.reclaim("a");
    scene.setHeld(true);
    scene.renewLease(false);
    const before = scene.orders.length;
    await scene.pass(1_500);
    assert.ok(scene.orders.length > before);
    await scene.end();
});

// Orders state totals, so one by an incomplete list would take away engines that are not listed yet.
test("a new holder orders nothing until the list has what an earlier one may have ordered", async () => {
    const scene = createFleetScene({ enginesPerZone: 0, work: steady });
    await scene.pass(6_500);
    assert.deepEqual(scene.orders, []);
    await scene.pass(3_000);
    assert.ok(scene.orders.length > 0);
    await scene.end();
});

test("no order takes away engines that the list lacks for some time", async () => {
    const scene = createFleetScene({
        work: at => at < 10_000 ? { prefill: 0, decode: 0 } : { prefill: 5, decode: 7 },
        answer: order => order.isReclaimable ? DutyAnswer.Rejected : DutyAnswer.Accepted,
    });
    await scene.pass(10_000);
    scene.setUnlisted(engine => Number(engine.name.slice(1)) % 3 > 0);
    await scene.pass(8_000);
    assert.ok(scene.orders.some(order => !order.isReclaimable), "the missing engines are ordered");
    assert.ok(zones.every(zone => scene.countKind(zone, false) >= 21), "63 engines are there, and 21 of them listed");
    await scene.end();
});

test("the replacement of engines that are taken away is ordered at the notice, and not of the same kind and zone", async () => {
    const scene = createFleetScene({ work: steady });
    await scene.pass(settledMilliseconds);
    const lost = scene.countKind("a", true);
    const before = scene.orders.length;
    const at = scene.clock.monotonicNow();
    scene.reclaim("a");
    await scene.pass(500);
    const replaced = scene.orders.slice(before);
    assert.ok(lost > 5 && replaced.length > 0);
    await scene.pass(8_000);
    assert.ok(!scene.orders.slice(before).some(order => order.isReclaimable && order.availabilityZone === "a"));
    assert.ok(countAll(scene) >= 28, `${countAll(scene)} engines`);
    await scene.pass(40_000);
    const again = scene.orders.find(order => order.at > at && order.isReclaimable && order.availabilityZone === "a");
    assert.ok(again && again.at - at >= 15_000, "cheap engines are ordered again after a pause");
    await scene.end();
});

test("engines that are taken away while the work is not known are replaced by what was needed last", async () => {
    const scene = createFleetScene({ work: at => at < 31_000 ? work : undefined });
    await scene.pass(32_000);
    const before = scene.orders.length;
    scene.reclaim("a");
    await scene.pass(10_000);
    assert.ok(scene.orders.length > before);
    assert.ok(countAll(scene) >= 28, `${countAll(scene)} engines`);
    await scene.end();
});

test("orders that this process may not send are made once it may", async () => {
    const scene = createFleetScene({
        work: steady,
        answer: (order, at) => at < 20_000 ? undefined : DutyAnswer.Accepted,
    });
    await scene.pass(20_000);
    assert.equal(countAll(scene), 63);
    await scene.pass(settledMilliseconds);
    assert.ok(countAll(scene) < 40, `${countAll(scene)} engines`);
    await scene.end();
});

test("after a refusal, engines are ordered in another zone or of the other kind, with growing pauses", async () => {
    const scene = createFleetScene({
        enginesPerZone: 3,
        work: steady,
        answer: order =>
            order.isReclaimable && order.availabilityZone !== "c" ? DutyAnswer.Rejected : DutyAnswer.Accepted,
    });
    await scene.pass(180_000);
    assert.ok(countAll(scene) >= 28, `${countAll(scene)} engines`);
    const refused = scene.orders.filter(order => order.isReclaimable && order.availabilityZone === "a");
    assert.ok(refused.length >= 2 && refused.length <= 8, `${refused.length} orders in three minutes`);
    await scene.end();
});

test("where no engine can be had at all, at most six orders a minute are made for each zone", async () => {
    const scene = createFleetScene({ enginesPerZone: 3, work: steady, answer: () => DutyAnswer.Rejected });
    await scene.pass(60_000);
    const before = scene.orders.length;
    await scene.pass(120_000);
    for (const zone of zones) {
        const orders = scene.orders.slice(before).filter(order => order.availabilityZone === zone);
        assert.ok(orders.length > 0 && orders.length <= 12, `${orders.length} orders in two minutes`);
    }
    await scene.end();
});

test("an order without an answer is restated until it is answered", async () => {
    const scene = createFleetScene({
        enginesPerZone: 3,
        work: steady,
        answer: (order, at) => at < 10_000 ? DutyAnswer.Unknown : DutyAnswer.Accepted,
    });
    await scene.pass(20_000);
    assert.ok(countAll(scene) >= 28, `${countAll(scene)} engines`);
    await scene.end();
});

test("an order that is carried out late, after a newer one, is made undone", async () => {
    let lateOrder: (() => void) | undefined;
    const scene: FleetScene = createFleetScene({
        work: steady,
        answer: order => {
            const isFirst = lateOrder === undefined && !order.isReclaimable;
            if (isFirst) {
                // Carried out after the list shows the newer order.
                lateOrder = () => scene.carryOut({ ...order, desired: 21 });
            }
            return isFirst ? DutyAnswer.Unknown : DutyAnswer.Accepted;
        },
    });
    await scene.pass(settledMilliseconds);
    lateOrder?.();
    await scene.pass(60_000);
    assert.ok(countAll(scene) < 40, `${countAll(scene)} engines`);
    await scene.end();
});

test("engines that were ordered and do not come count for their start and three seconds, then others are ordered", async () => {
    const scene = createFleetScene({
        enginesPerZone: 3,
        work: steady,
        answer: () => DutyAnswer.Accepted,
        isCarriedOut: order => !order.isReclaimable,
    });
    await scene.pass(13_500);
    assert.ok(scene.orders.every(order => order.isReclaimable));
    await scene.pass(12_000);
    assert.ok(countAll(scene) >= 28, `${countAll(scene)} engines`);
    assert.equal(countReclaimable(scene), 0);
    await scene.end();
});

test("each order is logged once with its answer, and the numbers are listed", async () => {
    const scene = createFleetScene({ work: steady });
    await scene.pass(settledMilliseconds);
    const events = scene.eventLog.of(EventKind.EnginesOrdered);
    assert.equal(events.length, scene.orders.length);
    const { service, zone, kind, desired, listed, reason, answer } = events[0]!.fields;
    assert.deepEqual(
        { service, zone, kind, listed, reason, answer },
        { service: "s", zone: "a", kind: "reclaimable", listed: 0, reason: "replacement", answer: "accepted" },
    );
    assert.ok(typeof desired === "number" && desired > 0);
    assert.ok(scene.list().every(numbers => numbers.desired === numbers.listed));
    assert.equal(scene.list().length, 6);
    await scene.end();
});
