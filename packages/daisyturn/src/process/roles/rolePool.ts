import { EnginePhase, EngineRole } from "../../ports/engine.js";
import type { ConfigurationVersion } from "../../version/configurationVersion.js";
import type { EngineLoad } from "../load/index.js";
import type { ArrivalRates } from "./arrivalMeter.js";

/** Engines that serve the same models and are subject to planning. */
export interface RolePool {
    readonly models: readonly string[];
    readonly prefill: readonly EngineLoad[];
    readonly decode: readonly EngineLoad[];
    /** Number of engines that serve both stages. They keep their role. */
    readonly mixedEngines: number;
    /** Number of engines of the pool that serve nothing now because of a change. */
    readonly changingEngines: number;
}

/** Demand on a pool. */
export interface PoolDemand {
    /** Number of engines that the arriving prefill work would keep busy. */
    readonly prefillEngines: number;
    /** Number of engines that the arriving decode work would keep busy. */
    readonly decodeEngines: number;
    readonly worthPerSecond: number;
    /** Cost of one change: mean of the partners' costs, weighted by their shares of the work of the scarcer role. */
    readonly changeCost: number;
}

/** Largest batch considered in the computation of an engine's decode rate; rates of larger ones are too uncertain. */
const maxBatch = 48;
/**
 * Fraction of the limit between tokens up to which batches are planned. At the limit itself, any additional work would
 * make all answers late.
 */
const usableLimitFraction = 0.8;
const millisecondsPerSecond = 1_000;

/** Groups engines by the models they serve. Mixed engines and those with a hold of a partner are excluded. */
export function listRolePools(
    loads: readonly EngineLoad[],
    version: ConfigurationVersion,
    isChanging: (engineId: string) => boolean,
): RolePool[] {
    const byModels = new Map<string, EngineLoad[]>();
    for (const load of loads.filter(one => version.holdsOn(one.engineId).length === 0)) {
        const key = listModels(load, version).join("\n");
        byModels.set(key, [...byModels.get(key) ?? [], load]);
    }
    return [...byModels].map(([key, members]) => {
        const isOutOfService = (load: EngineLoad) => load.phase() !== EnginePhase.Serving || isChanging(load.engineId);
        const present = members.filter(load => !isOutOfService(load));
        return {
            models: key.split("\n"),
            prefill: present.filter(load => load.role() === EngineRole.Prefill),
            decode: present.filter(load => load.role() === EngineRole.Decode),
            mixedEngines: present.filter(load => load.role() === EngineRole.Mixed).length,
            changingEngines: members.length - present.length,
        };
    });
}

function listModels(load: EngineLoad, version: ConfigurationVersion): string[] {
    return [...version.findTarget(load.engineId)?.models ?? load.state()?.models ?? []].sort();
}

/** Computes the demand from learned rates. Undefined without arrivals or without engines in service. */
export function computeDemand(pool: RolePool, arrivals: readonly ArrivalRates[]): PoolDemand | undefined {
    const served = arrivals.filter(rate => pool.models.includes(rate.model) && rate.requests > 0);
    const engines = [...pool.prefill, ...pool.decode];
    if (served.length === 0 || engines.length === 0) {
        return undefined;
    }
    const limit = sum(served, rate => rate.betweenTokensLimit) / sum(served, rate => rate.requests);
    const prefillRate = mean(engines, load => load.prefillPerMillisecond()) * millisecondsPerSecond;
    const decodeRate = mean(engines, load => computeMaxDecodeRate(load, limit));
    const prefillOf = (rate: ArrivalRates) => rate.prefillTokens / prefillRate;
    const decodeOf = (rate: ArrivalRates) => rate.outputTokens / decodeRate;
    const prefillEngines = sum(served, prefillOf);
    const decodeEngines = sum(served, decodeOf);
    const scarce = prefillEngines / pool.prefill.length > decodeEngines / pool.decode.length ? prefillOf : decodeOf;
    return {
        prefillEngines,
        decodeEngines,
        worthPerSecond: sum(served, rate => rate.worth),
        changeCost: weighCosts(served, scarce),
    };
}

/**
 * Charges the cost of a change to the partners whose work benefits from it. With the mean of all partners' costs, a
 * partner that never benefits would pay too; with the highest cost, one partner could veto every change.
 */
function weighCosts(served: readonly ArrivalRates[], work: (rate: ArrivalRates) => number): number {
    const total = sum(served, work);
    const costOf = (rate: ArrivalRates) => rate.changeCost / rate.requests;
    return total <= 0 ? 0 : sum(served, rate => work(rate) / total * costOf(rate));
}

/** Computes the highest decode rate of an engine, in tokens per second, within the limit between tokens. */
function computeMaxDecodeRate(load: EngineLoad, limitMilliseconds: number): number {
    let best = millisecondsPerSecond / load.rates.betweenTokens(1);
    for (let streams = 2; streams <= maxBatch; streams++) {
        const interval = load.rates.betweenTokens(streams);
        if (interval > limitMilliseconds * usableLimitFraction) {
            break;
        }
        best = Math.max(best, streams * millisecondsPerSecond / interval);
    }
    return best;
}

function sum<T>(values: readonly T[], pick: (value: T) => number): number {
    return values.reduce((total, value) => total + pick(value), 0);
}

function mean<T>(values: readonly T[], pick: (value: T) => number): number {
    return sum(values, pick) / values.length;
}
