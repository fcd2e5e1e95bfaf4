import { EnginePhase, EngineRole } from "../../../ports/engine.js";
import { isOrderOpen, isRequestOpen, OrderRequestState } from "../rows/orderRows.js";
import { createOrderWorld, type OrderWorld } from "./orderWorld.js";
import { pauseMilliseconds } from "./worldConstants.js";
import { type OrderWorldOptions } from "./worldProcess.js";
import type { WorldProcess } from "./worldProcess.js";

/** Result of a run of one role change under faults. */
export interface RoleChangeRun {
    readonly violations: readonly string[];
    /** Whether the engine serves again and no change, order or request is open. */
    readonly hasSettled: boolean;
    readonly outcome: OrderRequestState | undefined;
    readonly role: EngineRole;
    readonly holderCalls: number;
    readonly endedAt: number;
    readonly world: OrderWorld;
}

/** Hooks through which a test disturbs a run. */
export interface RoleChangeDisturbance {
    /** Called when the request is recorded, with the process that holds the lease. */
    readonly atRequest?: (world: OrderWorld, holder: WorldProcess) => void;
    /** Called every 250 ms of the clock afterwards. */
    readonly everyStep?: (world: OrderWorld, holder: WorldProcess) => void;
}

const runLimitMilliseconds = 120_000;
const workMilliseconds = 900;
/** When the first lease is held, and when the request is made. */
const startMilliseconds = 2_000;

/** Runs one role change to its end, with work from entry VMs that follow the closing and from one that does not. */
export async function runRoleChange(
    options: OrderWorldOptions,
    disturbance: RoleChangeDisturbance = {},
): Promise<RoleChangeRun> {
    const world = createOrderWorld(options);
    await world.clock.advance(startMilliseconds);
    const holder = world.processes.find(one => one.leaseManager.current())!;
    const other = world.processes.find(one => one !== holder)!;
    const request = { requestId: "req-1", engineId: "engine-1", kind: "change_role", role: EngineRole.Decode } as const;
    await other.commands.requestOrder(request as never);
    disturbance.atRequest?.(world, holder);

    const step = () => {
        dispatchWork(world);
        world.proveDeaths();
        disturbance.everyStep?.(world, holder);
        return hasSettled(world);
    };
    const settled = await world.advanceUntil(step, runLimitMilliseconds);
    // Calls that are still in flight, for example of a paused process, arrive before the result is evaluated.
    await world.clock.advance(pauseMilliseconds);
    const run = {
        violations: world.engine.violations,
        hasSettled: settled && hasSettled(world),
        outcome: world.request()?.state,
        role: world.engine.state().role,
        holderCalls: holder.host.callCount(),
        endedAt: world.clock.monotonicNow(),
        world,
    };
    await world.stop();
    return run;
}

/** Starts work from every entry VM that may send it, and from one that has not received the closing. */
function dispatchWork(world: OrderWorld): void {
    world.engine.startWork(workMilliseconds);
    for (const { host, gate } of world.processes) {
        if (!host.isDead() && !host.isPaused() && gate.isOpen(world.engine.engineId)) {
            world.engine.startWork(workMilliseconds);
        }
    }
}

function hasSettled(world: OrderWorld): boolean {
    const { change, last, doubtful } = world.orders();
    const state = world.engine.state();
    const isServing = state.phase === EnginePhase.Serving && !state.draining;
    const isOver = !change && !doubtful && !isOrderOpen(last) && !isRequestOpen(world.request());
    return isServing && isOver;
}
