import { FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DutyAnswer } from "../../../../ports/duties/fleetDuties.js";
import { OrderReason } from "../chooseOrders.js";
import { createEngineLedger } from "../createEngineLedger.js";
import { EngineKind } from "../fleetNumbers.js";

const place = { zone: "a", kind: EngineKind.Regular };

function createLedger() {
    const clock = new FakeClock();
    const ledger = createEngineLedger({ bootMilliseconds: () => 4_000, clock });
    const list = (open: number) => ledger.update([{ ...place, open, leavingAtNotice: 0 }]);
    list(8);
    const order = (desired: number, answer: DutyAnswer | undefined) =>
        ledger.begin({ ...place, desired, reason: OrderReason.Surplus })(answer);
    const restated = () => ledger.listRestated().map(({ desired }) => desired);
    const ordered = () => ledger.ordered().get("a")!.regular;
    return { clock, ledger, list, order, restated, ordered };
}

test("an order without an answer is restated after growing pauses, and once more after its repetition was accepted", async () => {
    const { clock, order, restated } = createLedger();
    order(6, DutyAnswer.Unknown);
    for (const pause of [1_000, 2_000, 4_000]) {
        assert.deepEqual(restated(), []);
        await clock.advance(pause);
        assert.deepEqual(restated(), [6]);
        order(6, DutyAnswer.Unknown);
    }
    await clock.advance(8_000);
    order(6, DutyAnswer.Unknown);
    await clock.advance(5_000);
    order(6, DutyAnswer.Accepted);
    assert.deepEqual(restated(), [], "accepted");
    await clock.advance(1_000);
    assert.deepEqual(restated(), [6], "the first one may have been carried out late");
    order(6, DutyAnswer.Accepted);
    await clock.advance(60_000);
    assert.deepEqual(restated(), []);
});

test("a return that the list does not show is restated once; then the listed engines count", async () => {
    const { clock, list, order, restated, ordered } = createLedger();
    order(6, DutyAnswer.Accepted);
    await clock.advance(8_000);
    list(8);
    assert.deepEqual(restated(), []);
    await clock.advance(250);
    list(8);
    assert.deepEqual(restated(), [6]);
    order(6, DutyAnswer.Accepted);
    assert.equal(ordered(), 6);
    await clock.advance(8_250);
    list(8);
    assert.equal(ordered(), 8);
    assert.deepEqual(restated(), []);
});

test("an order that was refused or not sent leaves the number as it was", () => {
    for (const answer of [DutyAnswer.Rejected, DutyAnswer.Throttled, undefined]) {
        const { order, ordered, ledger } = createLedger();
        order(12, answer);
        assert.equal(ordered(), 8);
        assert.equal(ledger.available("a", true).regular, 8, "no more are ordered for a while");
    }
});

test("an engine that is missing in the list for a moment still counts", async () => {
    const { clock, list, ordered } = createLedger();
    await clock.advance(20_000);
    list(7);
    await clock.advance(3_250);
    list(7);
    assert.equal(ordered(), 8);
    list(8);
    await clock.advance(10_000);
    list(7);
    await clock.advance(3_750);
    list(7);
    assert.equal(ordered(), 7);
});

test("engines that are missing without notice lower what counts, and not the total that the platform has", async () => {
    const { clock, ledger, list, ordered } = createLedger();
    const stated = () => ledger.stated("a", EngineKind.Regular);
    await clock.advance(20_000);
    list(3);
    await clock.advance(3_750);
    list(3);
    assert.deepEqual([ordered(), stated()], [3, 8]);
    list(9);
    assert.deepEqual([ordered(), stated()], [9, 9]);
    ledger.update([{ ...place, open: 2, leavingAtNotice: 7 }]);
    assert.deepEqual([ordered(), stated()], [2, 2], "these are gone for certain");
});
