import { createLineFit, type LineFit } from "../../load/index.js";

/** How fast engines of a service prefill prompts while nothing else holds them up. */
export interface PrefillRate {
    /** Milliseconds for a token, without attention to what stands before it. */
    readonly tokenMilliseconds: number;
    /** Milliseconds of attention for a million pairs of a token and one before it. */
    readonly pairMilliseconds: number;
}

/** A prompt that was prefilled: service, tokens read, tokens kept before them, milliseconds at an engine that only prefills. */
export type PrefillObservation = readonly [service: string, tokens: number, keptTokens: number, milliseconds: number];

/** The rates at which engines prefill, learned from prompts that hardly waited. */
export interface PrefillRates {
    rate(service: string): PrefillRate;
    observe(observation: PrefillObservation): void;
    /** Takes in what a peer has observed. */
    recordRemote(observation: PrefillObservation): void;
    /** Own observations since the last call, for the peers. */
    drainUnsent(): readonly PrefillObservation[];
}

/** Rates before anything was observed: those of a model of some ten billion active parameters. */
const startingTokenMilliseconds = 1 / 65;
const startingPairMilliseconds = 0.25;
/** The starting rates hold the line at these mean positions, in tokens, with this weight in observations. */
const startingPositions = [0, 10_000] as const;
const startingWeight = 0.05;
/** Shorter prompts are read within one step, which says little of the rate. */
const leastTokens = 1_024;
/** Far beyond any prompt: peers may tell anything, and a single far point would turn the line. */
const mostTokens = 1e6;
/**
 * Weight of an observation above the line, where one below it has the weight 1: prompts may have waited for work that this
 * process does not know of, while none is read faster than the engine can.
 */
const weightAbove = 0.05;
/** One observation counts as at most this many times too slow or too fast. */
const largestRatio = 1.5;
/** What is left of the evidence after one more observation, whatever its weight. */
const memory = 0.96;
const pairsPerMillion = 1e6;
/** Observations kept for the peers; older ones say less. */
const mostUntold = 16;
/** Services with rates of their own; beyond, the one that was observed first is dropped. */
const mostServices = 64;

/** Creates the rates as one process learns them. */
export function createPrefillRates(): PrefillRates {
    const fits = new Map<string, LineFit>();
    let untold: PrefillObservation[] = [];

    const find = (service: string): LineFit => {
        let fit = fits.get(service);
        if (!fit) {
            fit = createLineFit({
                points: startingPositions.map(position => [
                    position,
                    startingTokenMilliseconds + position * startingPairMilliseconds / pairsPerMillion,
                ]),
                weight: startingWeight,
            });
            fits.set(service, fit);
            const oldest = fits.keys().next().value;
            if (fits.size > mostServices && oldest !== undefined) {
                fits.delete(oldest);
            }
        }
        return fit;
    };

    /** Each token attends to all before it, so milliseconds for a token grow in a line with the mean position. */
    const learn = ([service, tokens, keptTokens, milliseconds]: PrefillObservation) => {
        if (tokens < leastTokens || keptTokens + tokens > mostTokens) {
            return;
        }
        const fit = find(service);
        const position = keptTokens + tokens / 2;
        const known = fit.at(position);
        const observed = Math.min(known * largestRatio, Math.max(known / largestRatio, milliseconds / tokens));
        fit.fade(memory);
        fit.add(position, observed, observed < known ? 1 : weightAbove);
    };

    return {
        rate: service => {
            const fit = fits.get(service);
            const tokenMilliseconds = fit?.at(0) ?? startingTokenMilliseconds;
            return {
                tokenMilliseconds,
                pairMilliseconds: fit ? fit.at(pairsPerMillion) - tokenMilliseconds : startingPairMilliseconds,
            };
        },
        observe: observation => {
            learn(observation);
            untold = [...untold, observation].slice(-mostUntold);
        },
        recordRemote: learn,
        drainUnsent: () => {
            const told = untold;
            untold = [];
            return told;
        },
    };
}
