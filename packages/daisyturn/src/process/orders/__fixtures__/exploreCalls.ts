import { EngineRole } from "../../../ports/engine.js";
import { OrderRequestState } from "../rows/orderRows.js";
import type { OrderWorld } from "./orderWorld.js";
import { runRoleChange } from "./runRoleChange.js";
import type { WorldProcess } from "./worldProcess.js";

/** Schedules a disturbance at the lease holder's call with the number `index`. */
export type DisturbCall = (world: OrderWorld, holder: WorldProcess, index: number) => void;

/** Results of the runs, one for each call of the lease holder. */
export interface Exploration {
    readonly runs: number;
    /** Runs with a violation, with an open order or request, or whose outcome differs from the engine's state. */
    readonly failures: readonly string[];
    /** Number of runs in which the change was made despite the disturbance. */
    readonly done: number;
}

/** Runs a role change once for each call that the holder makes in an undisturbed run, disturbed at that call. */
export async function exploreCalls(checksFencingNumbers: boolean, disturb: DisturbCall): Promise<Exploration> {
    const calls = await countCalls(checksFencingNumbers);
    const failures: string[] = [];
    let done = 0;
    for (let index = calls.first; index <= calls.last; index++) {
        const run = await runRoleChange({ checksFencingNumbers }, {
            atRequest: (world, holder) => disturb(world, holder, index),
        });
        const isDone = run.outcome === OrderRequestState.Done && run.role === EngineRole.Decode;
        const isNotDone = run.outcome === OrderRequestState.Failed || run.outcome === OrderRequestState.Expired;
        const isGivenUp = isNotDone && run.role === EngineRole.Mixed;
        if (run.violations.length > 0 || !run.hasSettled || !isDone && !isGivenUp) {
            const outcome = `settled=${run.hasSettled} ${run.outcome} ${run.role}`;
            failures.push(`call ${index}: ${outcome} ${run.violations.join(", ")}`);
        }
        done += isDone ? 1 : 0;
    }
    return { runs: calls.last - calls.first + 1, failures, done };
}

async function countCalls(checksFencingNumbers: boolean): Promise<{ readonly first: number; readonly last: number; }> {
    let first = 0;
    let last = 0;
    await runRoleChange({ checksFencingNumbers }, {
        atRequest: (...[, holder]) => first = holder.host.callCount() + 1,
        everyStep: (world, holder) => {
            const isOver = world.request()?.state === OrderRequestState.Done;
            last = isOver ? last : holder.host.callCount();
        },
    });
    return { first, last };
}
