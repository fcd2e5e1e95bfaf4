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

/** One change that the planner wants. */
export interface RoleChange {
    readonly engineId: string;
    readonly role: EngineRole;
    /** What it was decided from; absent where a baseline decides. */
    readonly question?: RoleSplitInput;
}

/** Decides which engines change their role. Other planners are baselines in measurements. */
export abstract class RolePlanning {
    /** Called at a steady interval in every process, so that a new holder of the lease knows the past. */
    abstract observe(pools: readonly RolePool[], demands: readonly (PoolDemand | undefined)[]): void;
    /** Changes to ask for now; called only under the lease. */
    abstract plan(pools: readonly RolePool[], demands: readonly (PoolDemand | undefined)[]): readonly RoleChange[];
}

/** Settings of the planner. */
export interface RolePlannerSettings {
    readonly intervalMilliseconds: number;
    /** Expected length of a mix before any has ended. */
    readonly priorMixMilliseconds: number;
    /** How long a change is expected to take, its drain included. */
    readonly changeMilliseconds: number;
    /** How long it takes to notice a new mix: the window of the arrival meter. */
    readonly detectionMilliseconds: number;
    /** Largest part of a pool that may be away at once; one engine always may. */
    readonly maxChangingFraction: number;
}

/** Settings for fleets whose role change takes seconds and whose mix swings within minutes. */
export const defaultRolePlannerSettings: RolePlannerSettings = {
    intervalMilliseconds: 1_000,
    priorMixMilliseconds: 60_000,
    changeMilliseconds: 8_000,
    detectionMilliseconds: arrivalWindowMilliseconds,
    maxChangingFraction: 0.25,
};

/** What the planner's task needs. */
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
    for (const { engineId, role, question } of changes) {
        const recorded = await options.controller.requestRoleChange(engineId, role);
        options.eventLog.record(EventKind.RolePlanned, {
            engine: engineId,
            role,
            ...question && describeQuestion(question),
            outcome: recorded.isOk ? "requested" : "refused",
            reason: recorded.isErr ? recorded.error.reason : undefined,
        });
    }
}

/** What is remembered of one pool's demand. */
interface PoolPast {
    readonly persistence: MixDurationEstimate;
    readonly mean: MeanDemand;
}

/** Creates the planning of the product. */
export function createRolePlanning(clock: Clock, settings: RolePlannerSettings): RolePlanning {
    const pasts = new Map<string, PoolPast>();

    const findPast = (pool: RolePool): PoolPast => {
        const key = pool.models.join("\n");
        const known = pasts.get(key) ?? {
            persistence: createMixDurationEstimate({ clock, priorMilliseconds: settings.priorMixMilliseconds }),
            mean: createMeanDemand(),
        };
        pasts.set(key, known);
        return known;
    };

    const planPool = (pool: RolePool, demand: PoolDemand): RoleChange[] => {
        const engines = pool.prefill.length + pool.decode.length + pool.away;
        const mayLeave = Math.max(1, Math.floor(engines * settings.maxChangingFraction)) - pool.away;
        const { persistence, mean } = findPast(pool);
        const later = mean.value();
        const question: RoleSplitInput = {
            prefillEngines: pool.prefill.length,
            decodeEngines: pool.decode.length,
            prefillDemand: demand.prefillEngines,
            decodeDemand: demand.decodeEngines,
            worthPerSecond: demand.worthPerSecond,
            changeCost: demand.changeCost,
            expectedMixMilliseconds: persistence.expectedRemaining(),
            changeMilliseconds: settings.changeMilliseconds,
            detectionMilliseconds: settings.detectionMilliseconds,
            meanPrefillDemand: later.prefillEngines,
            meanDecodeDemand: later.decodeEngines,
        };
        const answer = chooseRoleSplit(question);
        return chooseEngines(pool, answer.prefillEngines, Math.max(0, mayLeave))
            .map(change => ({ ...change, question }));
    };

    class PayingRolePlanning extends RolePlanning {
        override observe(pools: readonly RolePool[], demands: readonly (PoolDemand | undefined)[]): void {
            pools.forEach((pool, index) => {
                const demand = demands[index];
                if (demand) {
                    const all = demand.prefillEngines + demand.decodeEngines;
                    const past = findPast(pool);
                    past.persistence.note(demand.prefillEngines / Math.max(all, Number.EPSILON));
                    past.mean.note(demand, {
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
    return new PayingRolePlanning();
}

/** The engines that change: those with the fewest streams, since they are drained soonest; at most `most`. */
export function chooseEngines(pool: RolePool, prefillEngines: number, most: number): RoleChange[] {
    const surplus = pool.prefill.length - prefillEngines;
    const donors: readonly EngineLoad[] = surplus > 0 ? pool.prefill : pool.decode;
    const role = surplus > 0 ? EngineRole.Decode : EngineRole.Prefill;
    return [...donors]
        .sort((left, right) => left.streams() - right.streams())
        .slice(0, Math.min(most, Math.abs(surplus)))
        .map(load => ({ engineId: load.engineId, role }));
}

/** The figures of a decision, rounded, for the log. */
function describeQuestion(question: RoleSplitInput): EventFields {
    return {
        prefillEngines: question.prefillEngines,
        decodeEngines: question.decodeEngines,
        prefillDemand: Number(question.prefillDemand.toFixed(demandDigits)),
        decodeDemand: Number(question.decodeDemand.toFixed(demandDigits)),
        holdMilliseconds: Math.round(question.expectedMixMilliseconds),
    };
}
