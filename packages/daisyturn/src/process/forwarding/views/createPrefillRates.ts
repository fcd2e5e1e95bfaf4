import { createLineFit, type LineFit } from "../../load/index.js";

/** How fast the engines of a service prefill prompts while nothing delays them. */
export interface PrefillRate {
    /** Milliseconds for a token, without attention to the tokens before it. */
    readonly tokenMilliseconds: number;
    /** Milliseconds of attention for a million pairs of a token and one before it. */
    readonly pairMilliseconds: number;
}

/**
 * A prompt that was prefilled: service, prefilled tokens, cached tokens before them, milliseconds at an engine that
 * only prefills.
 */
export type PrefillObservation = readonly [service: string, tokens: number, keptTokens: number, milliseconds: number];

/** Learns the rates at which engines prefill, from prompts that hardly waited. */
export interface PrefillRates {
    rate(service: string): PrefillRate;
    observe(observation: PrefillObservation): void;
    /** Records the observation of a peer. */
    recordRemote(observation: PrefillObservation): void;
    /** Returns the process's own observations since the last call, to be sent to its peers. */
    drainUnsent(): readonly PrefillObservation[];
}

/** Rates before the first observation: those of a model with about ten billion active parameters. */
const initialTokenMilliseconds = 1 / 65;
const initialPairMilliseconds = 0.25;
/**
 * The initial rates are added to the line fit as points at these mean positions, in tokens, with this weight in
 * observations.
 */
const initialPositions = [0, 10_000] as const;
const initialWeight = 0.05;
/** Shorter prompts are prefilled within one step, so that their duration says little about the rate. */
const minTokens = 1_024;
/** Far longer than any prompt. Values from peers are not trusted, and a single distant point would tilt the line. */
const maxTokens = 1e6;
/**
 * Weight of an observation above the line; one below it has the weight 1. Prompts may have waited for work that this
 * process does not know of, while none is prefilled faster than the engine can.
 */
const weightAbove = 0.05;
/** An observation is limited to this factor above or below the estimate. */
const maxRatio = 1.5;
/** Factor on the weight of all earlier observations when one is added, whatever its weight. */
const evidenceDecay = 0.96;
const pairsPerMillion = 1e6;
/** Observations retained for the peers; the oldest are dropped, since they matter least. */
const maxUnsent = 16;
/** Services with rates of their own; beyond this number, the one that was observed first is dropped. */
const maxServices = 64;

/** Creates the estimates of one process. */
export function createPrefillRates(): PrefillRates {
    const fits = new Map<string, LineFit>();
    let unsent: PrefillObservation[] = [];

    const find = (service: string): LineFit => {
        let fit = fits.get(service);
        if (!fit) {
            fit = createLineFit({
                points: initialPositions.map(position => [
                    position,
                    initialTokenMilliseconds + position * initialPairMilliseconds / pairsPerMillion,
                ]),
                weight: initialWeight,
            });
            fits.set(service, fit);
            const oldest = fits.keys().next().value;
            if (fits.size > maxServices && oldest !== undefined) {
                fits.delete(oldest);
            }
        }
        return fit;
    };

    /** Each token attends to all tokens before it, so the time per token grows linearly with the mean position. */
    const learn = ([service, tokens, keptTokens, milliseconds]: PrefillObservation) => {
        if (tokens < minTokens || keptTokens + tokens > maxTokens) {
            return;
        }
        const fit = find(service);
        const position = keptTokens + tokens / 2;
        const known = fit.at(position);
        const observed = Math.min(known * maxRatio, Math.max(known / maxRatio, milliseconds / tokens));
        fit.decay(evidenceDecay);
        fit.add(position, observed, observed < known ? 1 : weightAbove);
    };

    return {
        rate: service => {
            const fit = fits.get(service);
            const tokenMilliseconds = fit?.at(0) ?? initialTokenMilliseconds;
            return {
                tokenMilliseconds,
                pairMilliseconds: fit ? fit.at(pairsPerMillion) - tokenMilliseconds : initialPairMilliseconds,
            };
        },
        observe: observation => {
            learn(observation);
            unsent = [...unsent, observation].slice(-maxUnsent);
        },
        recordRemote: learn,
        drainUnsent: () => {
            const drained = unsent;
            unsent = [];
            return drained;
        },
    };
}
