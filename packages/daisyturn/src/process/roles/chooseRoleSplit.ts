/** What a pool of engines is asked for and what changing it costs. A pool's engines all serve the same models. */
export interface RoleSplitInput {
    /** Engines that prefill now, those on their way to that role included. */
    readonly prefillEngines: number;
    readonly decodeEngines: number;
    /** Engines that the arriving work would keep busy, each part for itself. */
    readonly prefillDemand: number;
    readonly decodeDemand: number;
    /** Mean of both demands over a long past: what is expected once the present mix has ended. */
    readonly meanPrefillDemand: number;
    readonly meanDecodeDemand: number;
    /** Worth of all that arrives, a second. */
    readonly worthPerSecond: number;
    /** Cost of one change, in the unit of the worth. */
    readonly changeCost: number;
    /** How long the mix is expected to hold. */
    readonly expectedMixMilliseconds: number;
    /** How long an engine is away for a change, its drain included. */
    readonly changeMilliseconds: number;
    /** How long it takes to notice that the mix has changed. */
    readonly detectionMilliseconds: number;
}

/** What is best done. */
export interface RoleSplitChoice {
    readonly prefillEngines: number;
    /** Worth gained over the time the mix is expected to hold, less all costs; 0 if nothing is changed. */
    readonly net: number;
}

/** Engines are planned to be busy for this part of their time, so that waiting stays short. */
const targetUse = 0.85;
const millisecondsPerSecond = 1_000;

/** The number of prefill engines with the greatest net worth; the present one unless another pays. */
export function chooseRoleSplit(question: RoleSplitInput): RoleSplitChoice {
    const engines = question.prefillEngines + question.decodeEngines;
    let best: RoleSplitChoice = { prefillEngines: question.prefillEngines, net: 0 };
    for (let prefillEngines = 1; prefillEngines < engines; prefillEngines++) {
        const net = computeNetWorth(question, prefillEngines);
        if (net > best.net) {
            best = { prefillEngines, net };
        }
    }
    return best;
}

/**
 * Net worth of going to a split: what is served more while the mix holds, less what the change keeps from being served,
 * what the split loses after the mix has ended until it is changed again, and the cost. Without the third part the
 * planner went after every swing and stood wrong at the next one (seen in the bench with swings of 20 s).
 */
export function computeNetWorth(question: RoleSplitInput, prefillEngines: number): number {
    const { changeMilliseconds, expectedMixMilliseconds, detectionMilliseconds } = question;
    const engines = question.prefillEngines + question.decodeEngines;
    const moved = Math.abs(prefillEngines - question.prefillEngines);
    const present: Demand = { prefill: question.prefillDemand, decode: question.decodeDemand };
    const later: Demand = { prefill: question.meanPrefillDemand, decode: question.meanDecodeDemand };
    const stay: Split = { prefill: question.prefillEngines, decode: question.decodeEngines };
    const go: Split = { prefill: prefillEngines, decode: engines - prefillEngines };
    const during: Split = { prefill: Math.min(stay.prefill, go.prefill), decode: Math.min(stay.decode, go.decode) };
    const changeSeconds = Math.min(changeMilliseconds, expectedMixMilliseconds) / millisecondsPerSecond;
    const holdSeconds = expectedMixMilliseconds / millisecondsPerSecond;
    const laterSeconds = (detectionMilliseconds + changeMilliseconds) / millisecondsPerSecond;
    const gained = (serve(present, go) - serve(present, stay)) * (holdSeconds - changeSeconds);
    const missed = (serve(present, stay) - serve(present, during)) * changeSeconds;
    const lostLater = (serve(later, stay) - serve(later, go)) * laterSeconds;
    return (gained - missed - lostLater) * question.worthPerSecond - moved * question.changeCost;
}

interface Demand {
    readonly prefill: number;
    readonly decode: number;
}

interface Split {
    readonly prefill: number;
    readonly decode: number;
}

/** Part of the arriving work that a split serves: the scarcer role decides. */
function serve(demand: Demand, split: Split): number {
    const part = (count: number, wanted: number) => wanted <= 0 ? 1 : Math.min(1, count * targetUse / wanted);
    return Math.min(part(split.prefill, demand.prefill), part(split.decode, demand.decode));
}
