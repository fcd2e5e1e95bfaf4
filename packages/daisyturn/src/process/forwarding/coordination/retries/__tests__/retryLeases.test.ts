import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { findExcess } from "../../../retries/__fixtures__/countRepeats.js";
import type { RetryAllowance } from "../../../retries/createWindowedRetryBudget.js";
import { parseNotification } from "../../messages/notification.js";
import { encodeRetryLease } from "../../messages/retryMessages.js";
import { createRetryFleet, type RetryFleet, service } from "../__fixtures__/createRetryFleet.js";

/** Sizes of fleets, and the slack of each. */
const fleets = [
    { processes: 9, slack: 58 },
    { processes: 68, slack: 176 },
    { processes: 195, slack: 430 },
];
const calm = { requests: 7, retries: 0 };
const endless = { requests: 7, retries: 8 };

function createAllowance(slack: number): RetryAllowance {
    return { ratio: 0.2, windowMilliseconds: 10_000, slack };
}

function assertWithin({ sent }: RetryFleet, allowance: RetryAllowance): void {
    const excess = findExcess(sent, allowance);
    assert.ok(sent.repeats.length > 0);
    assert.ok(excess <= 0, `${excess} repeats beyond the allowance`);
}

/** Runs a step at every so many steps of 50 ms. */
function every(steps: number, action: (round: number) => void): (step: number) => void {
    return step => step % steps === 0 && action(step / steps);
}

// Guards against an amount of the fleet that each process has for itself: more processes, restarts and pauses must not add
// to it.
for (const { processes, slack } of fleets) {
    const allowance = createAllowance(slack);
    const half = Math.ceil(processes / 2);
    const createCalmFleet = async (seed: number, lossFraction = 0) => {
        const fleet = createRetryFleet({ seed, processes, allowance, lossFraction });
        await fleet.run(23_000, () => calm);
        return fleet;
    };

    describe(`the repeats of ${processes} processes stay within the allowance`, () => {
        it("when all want retries without end, and datagrams are lost or arrive twice", async () => {
            const fleet = await createCalmFleet(1, 0.1);
            await fleet.run(22_000, () => endless);
            assertWithin(fleet, allowance);
        });

        it("when a few of them want retries without end, and the load falls", async () => {
            const fleet = await createCalmFleet(2);
            await fleet.run(8_000, number => number % 4 === 0 ? endless : calm);
            await fleet.run(14_000, number => ({ requests: 0, retries: number % 4 === 0 ? 8 : 0 }));
            assertWithin(fleet, allowance);
        });

        it("when processes are killed one after the other, and twice all at once", async () => {
            const fleet = await createCalmFleet(3);
            const killOne = every(6, round => fleet.restart(round * 7 % processes));
            await fleet.run(4_000, () => endless, killOne);
            fleet.places.forEach((place, number) => fleet.restart(number));
            await fleet.run(4_000, () => endless, killOne);
            fleet.places.forEach((place, number) => fleet.restart(number));
            await fleet.run(6_000, () => endless);
            assertWithin(fleet, allowance);
        });

        it("when processes are paused with leases and permits, or cut off from the others", async () => {
            const fleet = await createCalmFleet(4);
            const pause = every(30, round => {
                fleet.places.forEach((place, number) => {
                    place.isPaused = (number + round) % 3 === 0;
                    place.isCutOff = (number + round) % 5 === 0;
                });
            });
            await fleet.run(24_000, () => endless, pause);
            assertWithin(fleet, allowance);
        });

        it("when the fleet grows by half within a window", async () => {
            const fleet = await createCalmFleet(5);
            await fleet.run(3_000, () => endless);
            await fleet.run(half * 50, () => endless, () => fleet.join());
            await fleet.run(12_000, () => endless);
            assertWithin(fleet, allowance);
        });

        it("when half of the fleet ends", async () => {
            const fleet = await createCalmFleet(6);
            await fleet.run(3_000, () => endless);
            fleet.places.splice(half).forEach(place => place.ended.abort());
            await fleet.run(22_000, () => endless);
            assertWithin(fleet, allowance);
        });
    });

    describe(`the leases of ${processes} processes`, () => {
        it("give a process in trouble more than its share, while the others want none", async () => {
            const fleet = await createCalmFleet(7);
            await fleet.run(10_000, number => number === 0 ? endless : calm);
            const share = allowance.ratio * calm.requests * 10 + slack / processes;
            assert.ok(fleet.repeatsOf(0) > 2 * share, `${fleet.repeatsOf(0)} repeats, its share is ${share}`);
            assertWithin(fleet, allowance);
        });

        it("cost no datagram while each process has enough", async () => {
            const fleet = await createCalmFleet(8);
            await fleet.run(10_000, () => ({ requests: 7, retries: 0.3 }));
            assert.ok(fleet.sent.repeats.length > 0);
            assert.equal(fleet.countDatagrams(), 0);
        });
    });
}

describe("a request for a lease", () => {
    const allowance = createAllowance(58);

    it("is answered with false at once while no process had any a moment ago", async () => {
        const fleet = createRetryFleet({ seed: 9, processes: 9, allowance });
        const request = () => fleet.places[0]?.leases.request(service, fleet.clock.monotonicNow() + 1_000);
        const first = request();
        await fleet.clock.advance(41);
        assert.equal(await first, false);
        const asked = fleet.countDatagrams();
        assert.equal(await request(), false);
        assert.equal(fleet.countDatagrams(), asked);
    });

    it("waits no longer than its deadline, or 40 ms, for processes that do not answer", async () => {
        const fleet = createRetryFleet({ seed: 10, processes: 9, allowance, lossFraction: 1 });
        const startedAt = fleet.clock.monotonicNow();
        const ends: number[] = [];
        for (const milliseconds of [15, 1_000]) {
            void fleet.places[0]?.leases.request(service, startedAt + milliseconds)
                .then(() => ends.push(fleet.clock.monotonicNow() - startedAt));
        }
        for (let step = 0; step < 100; step++) {
            await fleet.clock.advance(1);
        }
        assert.deepEqual(ends, [15, 40]);
    });

    it("adds a lease once, also if its datagram arrives twice", async () => {
        const fleet = createRetryFleet({ seed: 11, processes: 2, allowance: createAllowance(58) });
        await fleet.run(23_000, () => calm);
        const [borrower, lender] = fleet.places;
        assert.ok(borrower && lender);
        const request = borrower.leases.request(service, fleet.clock.monotonicNow() + 1_000);
        await fleet.clock.advance(41);
        assert.equal(await request, true);
        const leased = borrower.budget.status(service).leased;
        const datagram = encodeRetryLease({ from: lender.peer.peerId, requestId: 1, count: leased });
        const notification = parseNotification(datagram);
        assert.ok(notification && leased > 0);
        borrower.leases.receive(notification, lender.peer);
        assert.equal(borrower.budget.status(service).leased, leased);
    });
});
