import { createSeededRandom, EventKind } from "daisyturn-utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createQuotaFleet, type QuotaFleet } from "../__fixtures__/createQuotaFleet.js";

const perSecond = 10;
/** Two tokens of the bucket, and one for the time that datagrams take. */
const maxExcess = 3;
const runMilliseconds = 6_000;
const minUsedFraction = 0.7;

/** Runs the fleet before, during and after a failure, and asserts the limit over all of it. */
async function assertKept(
    harm: (fleet: QuotaFleet) => void,
    { processes = 8, minUsed = minUsedFraction, heal = () => undefined }: {
        processes?: number;
        minUsed?: number;
        heal?: (fleet: QuotaFleet) => void;
    } = {},
): Promise<void> {
    const fleet = await createQuotaFleet(processes);
    await fleet.run(runMilliseconds, perSecond);
    harm(fleet);
    const from = fleet.clock.monotonicNow();
    await fleet.run(runMilliseconds, perSecond);
    heal(fleet);
    await fleet.run(runMilliseconds, perSecond);
    const used = fleet.countSince(from) / (perSecond * 2 * runMilliseconds / 1_000);
    const excess = fleet.findExcess(perSecond);
    assert.ok(excess <= maxExcess, `${excess} more than the limit`);
    assert.ok(used >= minUsed, `only ${used} of the limit was used`);
    await fleet.stop();
}

test("a quota is kept and used by all processes together", () => assertKept(() => undefined, { minUsed: 0.9 }));

// Guards against datagrams where nothing is limited.
test("sends nothing while nobody takes a token", async () => {
    const fleet = await createQuotaFleet(4);
    fleet.end(0);
    const methods = new Set<string>();
    fleet.listeners.forEach((listener, port) =>
        fleet.listeners.set(port, (datagram, from) => {
            methods.add((JSON.parse(datagram.toString()) as { method: string; }).method);
            listener(datagram, from);
        })
    );
    await fleet.clock.advance(runMilliseconds);
    assert.deepEqual([...methods].filter(method => /quota|token|home/u.test(method)), []);
    await fleet.stop();
});

// Guards against a target that no process may use, or that all may use without tokens, once its home has ended.
test("another process becomes the home after the end of the home", () =>
    assertKept(fleet => fleet.end(fleet.indexOf(0))));

test("a home that restarts does not grant beside the one that stands in", () =>
    assertKept(fleet => fleet.restart(fleet.indexOf(0)), { heal: fleet => fleet.restart(fleet.indexOf(1)) }));

test("a home and its successor that are cut off from each other do not both grant", () =>
    assertKept(fleet => {
        const pair = [fleet.nameOf(0), fleet.nameOf(1)];
        fleet.setLink((from, to) => !pair.includes(from.peerId) || !pair.includes(to.peerId));
    }, { heal: fleet => fleet.setLink(() => true) }));

test("a home that is cut off from all others grants nothing beside its successor", () =>
    assertKept(fleet => {
        const home = fleet.nameOf(0);
        fleet.setLink((from, to) => from.peerId !== home && to.peerId !== home);
    }, { heal: fleet => fleet.setLink(() => true) }));

test("two processes that are cut off from each other grant half each", () =>
    assertKept(fleet => fleet.setLink(() => false), { processes: 2, heal: fleet => fleet.setLink(() => true) }));

test("lost datagrams lose tokens and never add any", async () => {
    const random = createSeededRandom(7);
    await assertKept(fleet => fleet.setLink(() => random.fraction() > 0.2), { minUsed: 0.5 });
});

// Guards against a process that holds a quota for a home, restarts and holds it for another one.
test("a process that held the quota and restarts holds it for no other home at once", async () => {
    const fleet = await createQuotaFleet(8);
    const pair = [fleet.nameOf(0), fleet.nameOf(1)];
    fleet.setLink((from, to) => !pair.includes(from.peerId) || !pair.includes(to.peerId));
    const oddMilliseconds = 40;
    for (let restart = 0; restart < 10; restart++) {
        await fleet.run(3_000 + restart * oddMilliseconds, perSecond);
        fleet.restart(fleet.indexOf(2));
    }
    const excess = fleet.findExcess(perSecond);
    assert.ok(excess <= maxExcess, `${excess} more than the limit`);
    await fleet.stop();
});

// Guards against two homes while the processes' lists differ: the first in the ranking starts last.
test("a process that joins and comes first in the ranking takes over without a second bucket", async () => {
    const fleet = await createQuotaFleet(6);
    const home = fleet.indexOf(0);
    fleet.end(home);
    await fleet.run(runMilliseconds, perSecond);
    fleet.restart(home);
    await fleet.run(runMilliseconds, perSecond);
    assert.ok(fleet.findExcess(perSecond) <= maxExcess);
    assert.equal(fleet.members[home]?.quotas.countHomes(), 1);
    assert.equal(
        fleet.members.reduce((sum, { quotas, ended }) => sum + (ended.signal.aborted ? 0 : quotas.countHomes()), 0),
        1,
    );
    const takers = fleet.processes.filter(({ eventLog }) => eventLog.of(EventKind.QuotaHomeLeft).length > 0);
    assert.equal(takers.length, 1, "the process that stood in has left");
    await fleet.stop();
});

test("a lower rate holds at once, and all processes learn it", async () => {
    const fleet = await createQuotaFleet(4);
    await fleet.run(runMilliseconds, perSecond);
    const from = fleet.clock.monotonicNow();
    await fleet.run(runMilliseconds, 2);
    const count = fleet.countSince(from);
    assert.ok(count <= 2 * runMilliseconds / 1_000 + maxExcess, `${count} tokens`);
    assert.ok(fleet.heard.includes(2));
    await fleet.stop();
});
