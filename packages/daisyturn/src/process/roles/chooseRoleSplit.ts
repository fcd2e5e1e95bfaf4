/** Demand on a pool of engines and the cost of changing roles. All engines of a pool serve the same models. */
export interface RoleSplitInput {
    /** Number of engines that prefill now, including those that are changing to that role. */
    readonly prefillEngines: number;
    readonly decodeEngines: number;
    /** Number of engines that the arriving prefill work, and the arriving decode work, would keep busy. */
    readonly prefillDemand: number;
    readonly decodeDemand: number;
    /** Long-term means of both demands, which are expected after the present mix has ended. */
    readonly meanPrefillDemand: number;
    readonly meanDecodeDemand: number;
    /** Worth of all arriving requests per second. */
    readonly worthPerSecond: number;
    /** Cost of changing the role of one engine, in the unit of the worth. */
    readonly changeCost: number;
    /** Expected remaining duration of the present mix. */
    readonly expectedMixMilliseconds: number;
    /** Time for which an engine serves nothing during a change, including its drain. */
    readonly changeMilliseconds: number;
    /** Time until a change of the mix is detected. */
    readonly detectionMilliseconds: number;
}

/** The split with the greatest net worth. */
export interface RoleSplitChoice {
    readonly prefillEngines: number;
    /** Worth gained during the remaining duration of the mix, less all costs; 0 if the split does not change. */
    readonly netWorth: number;
}

/** Planned utilization of the engines, which leaves enough spare time to keep queues short. */
const targetUtilization = 0.85;
const millisecondsPerSecond = 1_000;

/** Chooses the number of prefill engines with the greatest net worth, or the present one if none is above zero. */
export function chooseRoleSplit(input: RoleSplitInput): RoleSplitChoice {
    const engines = input.prefillEngines + input.decodeEngines;
    let best: RoleSplitChoice = { prefillEngines: input.prefillEngines, netWorth: 0 };
    for (let prefillEngines = 1; prefillEngines < engines; prefillEngines++) {
        const netWorth = computeNetWorth(input, prefillEngines);
        if (netWorth > best.netWorth) {
            best = { prefillEngines, netWorth };
        }
    }
    return best;
}

/**
 * Computes the net worth of changing to a split: the worth of the additional work served until the mix ends, minus the
 * work not served during the change, minus the loss from the end of the mix until the next change, minus the cost.
 * Without the loss after the mix ends, the planner followed every swing of a mix with swings of 20 s, and had the wrong
 * split at the next swing.
 */
export function computeNetWorth(input: RoleSplitInput, prefillEngines: number): number {
    const { changeMilliseconds, expectedMixMilliseconds, detectionMilliseconds } = input;
    const engines = input.prefillEngines + input.decodeEngines;
    const changedEngines = Math.abs(prefillEngines - input.prefillEngines);
    const present: Demand = { prefill: input.prefillDemand, decode: input.decodeDemand };
    const later: Demand = { prefill: input.meanPrefillDemand, decode: input.meanDecodeDemand };
    const current: Split = { prefill: input.prefillEngines, decode: input.decodeEngines };
    const planned: Split = { prefill: prefillEngines, decode: engines - prefillEngines };
    const during: Split = {
        prefill: Math.min(current.prefill, planned.prefill),
        decode: Math.min(current.decode, planned.decode),
    };
    const changeSeconds = Math.min(changeMilliseconds, expectedMixMilliseconds) / millisecondsPerSecond;
    const mixSeconds = expectedMixMilliseconds / millisecondsPerSecond;
    const laterSeconds = (detectionMilliseconds + changeMilliseconds) / millisecondsPerSecond;
    const gained = (computeServed(present, planned) - computeServed(present, current)) * (mixSeconds - changeSeconds);
    const missed = (computeServed(present, current) - computeServed(present, during)) * changeSeconds;
    const lostLater = (computeServed(later, current) - computeServed(later, planned)) * laterSeconds;
    return (gained - missed - lostLater) * input.worthPerSecond - changedEngines * input.changeCost;
}

interface Demand {
    readonly prefill: number;
    readonly decode: number;
}

interface Split {
    readonly prefill: number;
    readonly decode: number;
}

/** Fraction of the arriving work that a split serves, which is limited by the scarcer role. */
function computeServed(demand: Demand, split: Split): number {
    const computePart = (count: number, demanded: number) =>
        demanded <= 0 ? 1 : Math.min(1, count * targetUtilization / demanded);
    return Math.min(computePart(split.prefill, demand.prefill), computePart(split.decode, demand.decode));
}
