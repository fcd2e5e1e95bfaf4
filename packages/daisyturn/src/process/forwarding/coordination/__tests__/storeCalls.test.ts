import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { rowsPerPage } from "../__fixtures__/createFleet.js";
import { createStoreFleet, type StoreFleet, type StoreRequests } from "../__fixtures__/createStoreFleet.js";

/** The size for which a test has enough time; larger fleets are measured by hand. */
const count = Number(process.env["STORE_CALLS_PROCESSES"] ?? 45);
const zones = 3;

/** Counts the requests to the store during some seconds. */
async function countRequests(
    context: TestContext,
    fleet: StoreFleet,
    phase: string,
    run: () => Promise<void>,
    isFirst = false,
) {
    const before = isFirst ? { pages: 0, feeds: 0, registry: 0 } : fleet.requests();
    await run();
    const after = fleet.requests();
    const made: StoreRequests = {
        pages: after.pages - before.pages,
        feeds: after.feeds - before.feeds,
        registry: after.registry - before.registry,
    };
    context.diagnostic(`${phase}: ${made.pages} pages, ${made.feeds} feeds, ${made.registry} registry`);
    return made;
}

/** Ends all processes and starts them again after a second. */
async function restartAll(fleet: StoreFleet, areEntriesKept: boolean) {
    fleet.processes.forEach(({ end }) => end());
    if (!areEntriesKept) {
        fleet.clearEntries();
    }
    await fleet.clock.advance(1_000);
    fleet.processes.forEach((...[, index]) => fleet.restart(index));
    await fleet.clock.advance(6_000);
    checkLists(fleet);
}

/** Guards against processes that have contact with a coordinator before the registry lists the others. */
function checkLists(fleet: StoreFleet) {
    const counts = fleet.processes.map(({ coordination }) => coordination.listPeers().length);
    assert.ok(counts.every(listed => listed === count), `processes known to each: ${counts.join(" ")}`);
}

test("requests of a fleet to the store stay few", async context => {
    const fleet = createStoreFleet(count, zones);
    const { clock } = fleet;
    const started = await countRequests(context, fleet, "start of all, 6 s", () => clock.advance(6_000), true);
    checkLists(fleet);
    const resting = await countRequests(context, fleet, "at rest, 20 s", () => clock.advance(20_000));
    const changing = await countRequests(context, fleet, "targets change each second, 10 s", async () => {
        for (let change = 0; change < 10; change++) {
            fleet.put("targets", "i-1", String(change));
            await clock.advance(1_000);
        }
    });
    const changedOnce = await countRequests(context, fleet, "one change of the targets, 10 s", async () => {
        await clock.advance(4_000);
        fleet.put("targets", "i-1", "once");
        await clock.advance(6_000);
    });
    const [coordinator] = fleet.listCoordinators();
    assert.ok(coordinator);
    const losing = await countRequests(context, fleet, "loss of a coordinator, 10 s", () => {
        coordinator.end();
        fleet.setLink((from, to) => from !== coordinator.self && to !== coordinator.self);
        return clock.advance(10_000);
    });
    fleet.setLink(() => true);
    await countRequests(context, fleet, "start of one process, 6 s", () => {
        fleet.restart(fleet.processes.indexOf(coordinator));
        return clock.advance(6_000);
    });
    const killed = await countRequests(context, fleet, "restart of all, killed, 7 s", () => restartAll(fleet, true));
    await countRequests(context, fleet, "restart of all, with notice, 7 s", () => restartAll(fleet, false));
    assert.ok(started.feeds <= count + 30 && resting.feeds <= 100 && changing.feeds <= 60 && losing.feeds <= 60);
    // Guards against processes that read a complete registry twice.
    assert.ok(
        killed.registry <= count * Math.ceil(count / rowsPerPage) + 20,
        `${killed.registry} requests of the registry`,
    );
    // Guards against members that read the store after each change, because the coordinator's next answer comes too late.
    assert.ok(changedOnce.feeds <= resting.feeds / 2 + 12, `${changedOnce.feeds} calls for one change`);
    await fleet.stop();
});

// Guards against processes that are ready later, or learn of changes too late, because they wait for a coordinator.
test("a process that starts without a reachable coordinator reads the tables at once and their changes in time", async () => {
    for (const reachesRegistry of [true, false]) {
        const fleet = createStoreFleet(24, zones);
        fleet.put("configuration", "routes", "first");
        await fleet.clock.advance(6_000);
        const started = fleet.processes[0];
        assert.ok(started);
        const { self } = started;
        started.end();
        fleet.setLink((from, to) => from !== self && to !== self);
        fleet.setRegistry(peer => reachesRegistry || peer !== self);
        await fleet.clock.advance(1_000);
        fleet.restart(0);
        await fleet.clock.advance(10);
        assert.equal(fleet.read(self.peerId, "configuration", "routes"), "first");
        for (const version of ["second", "third"]) {
            fleet.put("configuration", "routes", version);
            await fleet.clock.advance(2_000);
            assert.equal(fleet.read(self.peerId, "configuration", "routes"), version);
        }
        await fleet.stop();
    }
});
