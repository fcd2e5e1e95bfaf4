import { EnginePhase, EngineRole } from "../../ports/engine.js";
import type { ConfigurationVersion } from "../../version/configurationVersion.js";
import type { EngineLoad } from "../load/index.js";
import type { ArrivalRates } from "./arrivalMeter.js";

/** Engines that serve the same models and take a part in planning. */
export interface RolePool {
    readonly models: readonly string[];
    readonly prefill: readonly EngineLoad[];
    readonly decode: readonly EngineLoad[];
    /** Engines of the pool that are away for a change now. */
    readonly away: number;
}

/** What a pool is asked for. */
export interface PoolDemand {
    /** Engines that the arriving work would keep busy. */
    readonly prefillEngines: number;
    readonly decodeEngines: number;
    readonly worthPerSecond: number;
    /** Cost of one change: the partners' costs by their parts in the work of the scarcer role. */
    readonly changeCost: number;
}

/** Largest batch that is looked at when an engine's decode rate is worked out: beyond it rates are only guessed. */
const largestBatch = 48;
/** The batch is not planned up to the very limit, where any more work makes all answers late. */
const usedLimitPart = 0.8;
const millisecondsPerSecond = 1_000;

/** Groups engines by the models they serve. Mixed engines, and those that a partner holds, are left out. */
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
        const isAway = (load: EngineLoad) => load.phase() !== EnginePhase.Serving || isChanging(load.engineId);
        const present = members.filter(load => !isAway(load));
        return {
            models: key.split("\n"),
            prefill: present.filter(load => load.role() === EngineRole.Prefill),
            decode: present.filter(load => load.role() === EngineRole.Decode),
            away: members.length - present.length,
        };
    });
}

function listModels(load: EngineLoad, version: ConfigurationVersion): string[] {
    return [...version.findTarget(load.engineId)?.models ?? load.state()?.models ?? []].sort();
}

/** Engines that arriving work would keep busy, from learned rates. Undefined before any engine has told its rates. */
export function computeDemand(pool: RolePool, arrivals: readonly ArrivalRates[]): PoolDemand | undefined {
    const served = arrivals.filter(rate => pool.models.includes(rate.model) && rate.requests > 0);
    const engines = [...pool.prefill, ...pool.decode];
    if (served.length === 0 || engines.length === 0) {
        return undefined;
    }
    const limit = sum(served, rate => rate.betweenTokensLimit) / sum(served, rate => rate.requests);
    const prefillRate = mean(engines, load => load.prefillPerMillisecond()) * millisecondsPerSecond;
    const decodeRate = mean(engines, load => bestDecodeRate(load, limit));
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
 * The change is charged to the partners whose work gains from it. Against a common objective (mean of all costs) this
 * keeps a partner that never gains from paying; against the strictest partner's cost it keeps one from vetoing.
 */
function weighCosts(served: readonly ArrivalRates[], work: (rate: ArrivalRates) => number): number {
    const total = sum(served, work);
    const costOf = (rate: ArrivalRates) => rate.changeCost / rate.requests;
    return total <= 0 ? 0 : sum(served, rate => work(rate) / total * costOf(rate));
}

/** Tokens a second of one engine with the largest batch that keeps the limit between tokens. */
function bestDecodeRate(load: EngineLoad, limitMilliseconds: number): number {
    let best = millisecondsPerSecond / load.rates.betweenTokens(1);
    for (let streams = 2; streams <= largestBatch; streams++) {
        const gap = load.rates.betweenTokens(streams);
        if (gap > limitMilliseconds * usedLimitPart) {
            break;
        }
        best = Math.max(best, streams * millisecondsPerSecond / gap);
    }
    return best;
}

function sum<T>(values: readonly T[], pick: (value: T) => number): number {
    return values.reduce((total, value) => total + pick(value), 0);
}

function mean<T>(values: readonly T[], pick: (value: T) => number): number {
    return sum(values, pick) / values.length;
}
