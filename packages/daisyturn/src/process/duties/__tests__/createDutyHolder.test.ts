import { EventKind, type FakeClock } from "daisyturn-utils";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DutyAnswer, type EngineOrder } from "../../../ports/duties/fleetDuties.js";
import { CallKind } from "../../orders/__fixtures__/processHost.js";
import {
    createDutyFleet,
    dutyLeaseMilliseconds,
    type DutyProcess,
    thawMilliseconds,
} from "../__fixtures__/dutyFleet.js";

const order: EngineOrder = { service: "s", availabilityZone: "z", desired: 3, isReclaimable: false };

/** Starts a process that acquires the lease. */
async function startHolder(checksFences = false) {
    const fleet = createDutyFleet();
    const holder = fleet.start("a", () => true, checksFences);
    await fleet.clock.advance(1_000);
    assert.ok(holder.calls.current());
    return { ...fleet, holder, callOnce: () => callOnce(fleet.clock, holder) };
}

/** Orders engines, and advances the clock by the time that the limit of the rate may take. */
async function callOnce(clock: FakeClock, { calls }: DutyProcess) {
    const answer = calls.order(order);
    await clock.advance(50);
    return answer;
}

describe("createDutyHolder", () => {
    it("acquires the lease at once as the coordinator, and never otherwise", async () => {
        const { clock, start, received } = createDutyFleet();
        const other = start("b", () => false);
        const coordinator = start("a", () => true);
        await clock.advance(200);
        assert.ok(coordinator.calls.current());
        assert.equal(other.calls.current(), undefined);
        assert.equal(await callOnce(clock, other), undefined);
        assert.equal(other.host.callCount(), 0, "a process that is not due calls neither the store nor the platform");
        assert.equal(await callOnce(clock, coordinator), DutyAnswer.Accepted);
        assert.deepEqual(received.map(({ holder, fencingNumber }) => [holder, fencingNumber]), [["a", 1]]);
    });

    // A holder that no longer coordinates does not know the load of the fleet, and would order engines by what it last knew.
    it("keeps the lease through short changes of the coordinator, and leaves it to a lasting one", async () => {
        const { clock, start } = createDutyFleet();
        let coordinator = "a";
        const [first, second] = ["a", "b"].map(name => start(name, () => coordinator === name));
        await clock.advance(1_000);
        coordinator = "b";
        await clock.advance(2_000);
        assert.ok(first!.calls.current());
        coordinator = "a";
        const before = first!.host.callCount();
        await clock.advance(20_000);
        assert.ok(first!.calls.current());
        assert.ok(first!.host.callCount() - before <= 20);
        coordinator = "b";
        await clock.advance(5_000);
        assert.equal(first!.calls.current(), undefined);
        assert.ok(second!.calls.current());
    });

    it("gives the lease up after a report's fencing number was rejected, and leaves it to others first", async () => {
        const { clock, holder, received, setAnswer, callOnce } = await startHolder();
        setAnswer(() => Promise.resolve(DutyAnswer.Rejected));
        assert.equal(await holder.calls.reportUsage({ window: 1, counts: new Map() }), DutyAnswer.Rejected);
        assert.equal(holder.calls.current(), undefined);
        assert.equal(await callOnce(), undefined);
        assert.equal(received.length, 1);
        assert.equal(holder.eventLog.of(EventKind.DutiesGivenUp).length, 1);
        await clock.advance(2 * dutyLeaseMilliseconds - 100);
        assert.equal(holder.calls.current(), undefined);
        await clock.advance(2_000);
        assert.ok((holder.calls.current()?.fencingNumber ?? 0) > 1);
    });

    it("keeps the lease after an order was rejected while its row is unchanged, and gives it up otherwise", async () => {
        const { holder, setAnswer, table, callOnce } = await startHolder(true);
        setAnswer(() => Promise.resolve(DutyAnswer.Rejected));
        assert.equal(await callOnce(), DutyAnswer.Rejected);
        assert.ok(holder.calls.current(), "the platform has no such engines at the moment");
        const key = holder.calls.current()!.fencingRow.key;
        await table.transact({ writeId: "w", conditions: [], writes: [{ key, value: undefined }] }, Infinity);
        assert.equal(await callOnce(), DutyAnswer.Rejected);
        assert.equal(holder.calls.current(), undefined);
    });

    it("pauses for longer and longer while the platform refuses calls because of their rate", async () => {
        const { clock, holder, received, setAnswer } = await startHolder();
        setAnswer(() => Promise.resolve(DutyAnswer.Throttled));
        const end = clock.monotonicNow() + 10_000;
        while (clock.monotonicNow() < end) {
            void holder.calls.order(order);
            await clock.advance(50);
        }
        const times = received.map(({ at }) => at);
        const pauses = times.slice(1).map((at, index) => at - times[index]!);
        assert.ok(pauses.every((pause, index) => index === 0 || pause > 1.5 * pauses[index - 1]!), pauses.join(" "));
        assert.ok(times.length >= 4 && times.length <= 6, times.join(" "));
    });

    it("makes at most half of the calls that the platform accepts", async () => {
        const { clock, holder, received } = await startHolder();
        for (let service = 0; service < 200; service++) {
            void holder.calls.order({ ...order, service: `s${service}` });
        }
        await clock.advance(2_000);
        assert.ok(received.length >= 45 && received.length <= 51, String(received.length));
    });

    it("sends the orders of one subject one after the other", async () => {
        const { clock, holder, received, setAnswer } = await startHolder();
        setAnswer(async () => {
            await clock.sleepUntil(clock.monotonicNow() + 500);
            return DutyAnswer.Accepted;
        });
        [1, 2].forEach(desired => void holder.calls.order({ ...order, desired }));
        void holder.calls.order({ ...order, availabilityZone: "other" });
        await clock.advance(450);
        assert.deepEqual(received.map(({ call }) => (call as EngineOrder).availabilityZone), ["z", "other"]);
        await clock.advance(1_000);
        assert.deepEqual(received.map(({ call }) => (call as EngineOrder).desired), [1, 3, 2]);
    });

    it("makes no call after a suspension until the thaw time has passed and the lease is renewed", async () => {
        const { clock, holder, received } = await startHolder();
        holder.host.pause(1_200);
        const resumedAt = clock.monotonicNow() + 1_200;
        const callRegularly = async () => {
            for (;;) {
                await holder.host.clock.sleepUntil(holder.host.clock.monotonicNow() + 20);
                void holder.calls.order(order);
            }
        };
        void callRegularly();
        await clock.advance(5_000);
        const first = received.find(({ at }) => at >= resumedAt);
        assert.ok(first && first.at >= resumedAt + thawMilliseconds, String(first?.at));
        assert.ok(received.every(({ at }) => at >= resumedAt + thawMilliseconds || at < resumedAt - 1_200));
    });

    it("makes no call while renewals fail, and calls again after the thaw time", async () => {
        const { clock, holder, callOnce } = await startHolder();
        holder.host.cutOff(CallKind.Store, true);
        await clock.advance(1_800);
        assert.ok(holder.calls.current());
        assert.equal(await callOnce(), undefined);
        holder.host.cutOff(CallKind.Store, false);
        await clock.advance(250);
        assert.equal(await callOnce(), undefined);
        await clock.advance(2_500);
        assert.equal(await callOnce(), DutyAnswer.Accepted);
    });

    it("releases the lease at a stop after its calls have ended, and not before a lease's length", async () => {
        const { clock, start, setAnswer } = createDutyFleet();
        let coordinators = ["a"];
        const [holder, next] = ["a", "b"].map(name => start(name, () => coordinators.includes(name)));
        await clock.advance(dutyLeaseMilliseconds + 500);
        coordinators = ["a", "b"];
        let answeredAt = Infinity;
        setAnswer(async () => {
            await clock.sleepUntil(clock.monotonicNow() + 700);
            answeredAt = clock.monotonicNow();
            return DutyAnswer.Accepted;
        });
        void holder!.calls.order(order);
        await clock.advance(10);
        holder!.stop();
        while (!next!.calls.current()) {
            await clock.advance(20);
        }
        const acquiredAt = clock.monotonicNow();
        assert.ok(acquiredAt >= answeredAt);
        assert.ok(acquiredAt < answeredAt + 1_500, "the next holder does not wait for the length of a lease");
        const again = start("a", () => true);
        next!.stop();
        while (!again.calls.current()) {
            await clock.advance(20);
        }
        assert.ok(clock.monotonicNow() >= acquiredAt + dutyLeaseMilliseconds);
    });
});
