import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DisturbCall, exploreCalls } from "./exploreCalls.js";
import { CallFault, CallKind } from "./processHost.js";

const outageMilliseconds = 15_000;
const workMilliseconds = 900;
const hourMilliseconds = 3_600_000;

/** Disturbances other than the faults of a single call. */
const disturbances: Readonly<Record<string, DisturbCall>> = {
    "the holder is cut off from the store only": (world, { host }, index) =>
        host.atCall(index, () => {
            host.cutOff(CallKind.Store, true);
            void world.clock.sleepUntil(world.clock.monotonicNow() + outageMilliseconds).then(() =>
                host.cutOff(CallKind.Store, false)
            );
        }),
    "the store is down for all": (world, { host }, index) =>
        host.atCall(index, () => {
            world.processes.forEach(one => one.host.cutOff(CallKind.Store, true));
            void world.clock.sleepUntil(world.clock.monotonicNow() + outageMilliseconds).then(() =>
                world.processes.forEach(one => one.host.cutOff(CallKind.Store, false))
            );
        }),
    "the engine restarts": (world, { host }, index) =>
        host.atCall(index, kind => {
            world.engine.crash();
            // Work that starts between the dispatcher's second state check and the order is cut: a known limitation.
            if (kind !== CallKind.EngineOrder) {
                world.engine.startWork(workMilliseconds);
            }
        }),
    "the engine stops partway": (world, { host }, index) => host.atCall(index, () => world.engine.crash(true)),
    "the holder is stopped in an orderly way": (world, holder, index) =>
        holder.host.atCall(index, () => void holder.stop()),
    "the holder is killed and restarted": (world, { host, identity }, index) =>
        host.atCall(index, () => {
            host.kill();
            world.ended.add(identity.incarnation);
            world.addProcess(identity.processId, `${identity.processId}-2`);
        }),
    "the holder's wall clock jumps forward": (world, { host }, index) =>
        host.atCall(index, () => world.clock.jumpWall(hourMilliseconds)),
    "the holder's wall clock jumps back": (world, { host }, index) =>
        host.atCall(index, () => world.clock.jumpWall(-hourMilliseconds)),
};

/**
 * Tests a role change with every fault of a single call and every disturbance, at each call of the lease holder; no
 * cases are sampled.
 */
export function describeFaults(checksFencingNumbers: boolean): void {
    describe(`a role change of an engine that ${checksFencingNumbers ? "checks" : "does not check"} numbers`, () => {
        for (const fault of Object.values(CallFault)) {
            it(`ends without a conflict when ${fault} occurs at any call`, () =>
                explore(checksFencingNumbers, (...[, { host }, index]) => host.failCall(index, fault)));
        }
        for (const [name, disturb] of Object.entries(disturbances)) {
            it(`ends without a conflict when ${name} at any call`, () => explore(checksFencingNumbers, disturb));
        }
    });
}

async function explore(checksFencingNumbers: boolean, disturb: DisturbCall): Promise<void> {
    const { runs, failures } = await exploreCalls(checksFencingNumbers, disturb);
    assert.ok(runs > 30, `a role change takes only ${runs} calls`);
    assert.deepEqual(failures, []);
}
