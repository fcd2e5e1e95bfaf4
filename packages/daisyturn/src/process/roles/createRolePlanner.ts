import { type Clock, type EventFields, EventKind, type EventLog } from "daisyturn-utils";
import { EngineRole } from "../../ports/engine.js";
import type { ConfigurationManager } from "../configuration/index.js";
import type { LeaseManager } from "../lease/index.js";
import type { EngineLoad, LoadView } from "../load/index.js";
import type { Controller } from "../orders/index.js";
import { type ArrivalMeter, arrivalWindowMilliseconds } from "./arrivalMeter.js";
import { chooseRoleSplit, type RoleSplitInput } from "./chooseRoleSplit.js";
import { createMeanDemand, type MeanDemand } from "./meanDemand.js";
import { createMixDurationEstimate, type MixDurationEstimate } from "./mixDurationEstimate.js";
import { computeDemand, listRolePools, type PoolDemand, type RolePool } from "./rolePool.js";

const demandDigits = 2;

/** A role change that the planner requests. */
export interface RoleChange {
    readonly engineId: string;
    readonly role: EngineRole;
    /** Input of the decision; absent if a baseline decides. */
    readonly input?: RoleSplitInput;
}

/** Decides which engines change their role. Measurements compare it with baselines. */
export abstract class RolePlanning {
    /** Called at a steady interval in every process, so that a new holder of the lease already has the history. */
    abstract observe(pools: readonly RolePool[], demands: readonly (PoolDemand | undefined)[]): void;
    /** Changes to request now. Called only while this process holds the lease. */
    abstract plan(pools: readonly RolePool[], demands: readonly (PoolDemand | undefined)[]): readonly RoleChange[];
}

/** Settings of the planner. */
export interface RolePlannerSettings {
    readonly intervalMilliseconds: number;
    /** Expected duration of a mix before any has ended. */
    readonly priorMixMilliseconds: number;
    /** Expected duration of a change, including the drain. */
    readonly changeMilliseconds: number;
    /** Time until a new mix is detected: the window of the arrival meter. */
    readonly detectionMilliseconds: number;
    /** Largest fraction of a pool that may change at once. One engine always may. */
    readonly maxChangingFraction: number;
}

/** Settings for fleets whose role changes take seconds and whose mix swings within minutes. */
export const defaultRolePlannerSettings: RolePlannerSettings = {
    intervalMilliseconds: 1_000,
    priorMixMilliseconds: 60_000,
    changeMilliseconds: 8_000,
    detectionMilliseconds: arrivalWindowMilliseconds,
    maxChangingFraction: 0.25,
};

/** What {@link runRolePlanner} needs. */
export interface RolePlannerOptions {
    readonly planning: RolePlanning;
    readonly meter: ArrivalMeter;
    readonly loadView: LoadView;
    readonly configurationManager: ConfigurationManager;
    readonly leaseManager: LeaseManager;
    readonly controller: Controller;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly intervalMilliseconds: number;
}

/** Runs the planning until `signal` is aborted. */
export async function runRolePlanner(options: RolePlannerOptions, signal: AbortSignal): Promise<void> {
    const { clock, meter, planning } = options;
    while (!signal.aborted) {
        const next = clock.monotonicNow() + options.intervalMilliseconds;
        meter.sample();
        const changing = new Set(options.controller.changesUnderWay().map(change => change.engineId));
        const pools = listRolePools(
            options.loadView.loads(),
            options.configurationManager.current(),
            engineId => changing.has(engineId),
        );
        const demands = pools.map(pool => computeDemand(pool, meter.rates()));
        planning.observe(pools, demands);
        if (options.leaseManager.current()?.isHeld()) {
            await requestChanges(options, planning.plan(pools, demands));
        }
        await clock.sleepUntil(next, signal);
    }
}

async function requestChanges(options: RolePlannerOptions, changes: readonly RoleChange[]): Promise<void> {
    for (const { engineId, role, input } of changes) {
        const recorded = await options.controller.requestRoleChange(engineId, role);
        options.eventLog.record(EventKind.RolePlanned, {
            engine: engineId,
            role,
            ...input && describeInput(input),
            outcome: recorded.isOk ? "requested" : "refused",
            reason: recorded.isErr ? recorded.error.reason : undefined,
        });
    }
}

/** History of one pool's demand. */
interface PoolHistory {
    readonly mixDuration: MixDurationEstimate;
    readonly mean: MeanDemand;
}

/** Creates the planning that is used in production. */
export function createRolePlanning(clock: Clock, settings: RolePlannerSettings): RolePlanning {
    const histories = new Map<string, PoolHistory>();

    const findHistory = (pool: RolePool): PoolHistory => {
        const key = pool.models.join("\n");
        const known = histories.get(key) ?? {
            mixDuration: createMixDurationEstimate({ clock, priorMilliseconds: settings.priorMixMilliseconds }),
            mean: createMeanDemand(),
        };
        histories.set(key, known);
        return known;
    };

    const planPool = (pool: RolePool, demand: PoolDemand): RoleChange[] => {
        const onlyEngine = findOnlyEngine(pool);
        if (onlyEngine) {
            return [{ engineId: onlyEngine.engineId, role: EngineRole.Mixed }];
        }
        const engines = pool.prefill.length + pool.decode.length + pool.changingEngines;
        const availableChanges = Math.max(1, Math.floor(engines * settings.maxChangingFraction)) - pool.changingEngines;
        const { mixDuration, mean } = findHistory(pool);
        const later = mean.value();
        const input: RoleSplitInput = {
            prefillEngines: pool.prefill.length,
            decodeEngines: pool.decode.length,
            prefillDemand: demand.prefillEngines,
            decodeDemand: demand.decodeEngines,
            worthPerSecond: demand.worthPerSecond,
            changeCost: demand.changeCost,
            expectedMixMilliseconds: mixDuration.expectedRemaining(),
            changeMilliseconds: settings.changeMilliseconds,
            detectionMilliseconds: settings.detectionMilliseconds,
            meanPrefillDemand: later.prefillEngines,
            meanDecodeDemand: later.decodeEngines,
        };
        const choice = chooseRoleSplit(input);
        return chooseEngines(pool, choice.prefillEngines, Math.max(0, availableChanges))
            .map(change => ({ ...change, input }));
    };

    class NetWorthRolePlanning extends RolePlanning {
        override observe(pools: readonly RolePool[], demands: readonly (PoolDemand | undefined)[]): void {
            pools.forEach((pool, index) => {
                const demand = demands[index];
                if (demand) {
                    const all = demand.prefillEngines + demand.decodeEngines;
                    const history = findHistory(pool);
                    history.mixDuration.record(demand.prefillEngines / Math.max(all, Number.EPSILON));
                    history.mean.record(demand, {
                        prefillEngines: pool.prefill.length,
                        decodeEngines: pool.decode.length,
                    });
                }
            });
        }

        override plan(pools: readonly RolePool[], demands: readonly (PoolDemand | undefined)[]): RoleChange[] {
            return pools.flatMap((pool, index) => {
                const demand = demands[index];
                return demand ? planPool(pool, demand) : [];
            });
        }
    }
    return new NetWorthRolePlanning();
}

/** Returns the engine of a pool that has no other one, and can't serve a request alone in its role. */
function findOnlyEngine({ prefill, decode, mixedEngines, changingEngines }: RolePool): EngineLoad | undefined {
    const [first, ...others] = [...prefill, ...decode];
    return others.length === 0 && mixedEngines === 0 && changingEngines === 0 ? first : undefined;
}

/** Chooses the engines that change, at most `maxChanges`: those with the fewest streams, which drain soonest. */
export function chooseEngines(pool: RolePool, prefillEngines: number, maxChanges: number): RoleChange[] {
    const surplus = pool.prefill.length - prefillEngines;
    const donors: readonly EngineLoad[] = surplus > 0 ? pool.prefill : pool.decode;
    const role = surplus > 0 ? EngineRole.Decode : EngineRole.Prefill;
    return [...donors]
        .sort((left, right) => left.streams() - right.streams())
        .slice(0, Math.min(maxChanges, Math.abs(surplus)))
        .map(load => ({ engineId: load.engineId, role }));
}

/** Rounded figures of a decision, for the event log. */
function describeInput(input: RoleSplitInput): EventFields {
    return {
        prefillEngines: input.prefillEngines,
        decodeEngines: input.decodeEngines,
        prefillDemand: Number(input.prefillDemand.toFixed(demandDigits)),
        decodeDemand: Number(input.decodeDemand.toFixed(demandDigits)),
        holdMilliseconds: Math.round(input.expectedMixMilliseconds),
    };
}
