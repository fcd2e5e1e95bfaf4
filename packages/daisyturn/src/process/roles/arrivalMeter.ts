import { type Clock, type JsonObject, toJson } from "daisyturn-utils";
import { ExchangeSection, type LoadExchange, type Membership, type ProcessIdentity } from "../peers/index.js";
import type { RoutingRequest } from "../routing/index.js";

/** What has arrived for one model from one partner. Counts since the start of a process; they only grow. */
export interface ArrivalCounts {
    readonly model: string;
    readonly partner: string;
    requests: number;
    /** Prompt tokens that had to be prefilled, estimated. */
    prefillTokens: number;
    outputTokens: number;
    /** Sum of the profiles' `goodputWorth`. */
    worth: number;
    /** Sum of the profiles' `roleChangeCost`, for their mean. */
    changeCost: number;
    /** Sum of the profiles' limits between tokens, in milliseconds, for their mean. */
    betweenTokensLimit: number;
}

/** Arrivals a second over the recent past, of the whole cell. */
export type ArrivalRates = Readonly<ArrivalCounts>;

/** Counts what arrives, refused requests included: what is refused for want of engines is demand all the same. */
export interface ArrivalMeter {
    recordArrival(request: RoutingRequest): void;
    /** Tells what a placed request turned out to need, so that later arrivals are estimated better. */
    recordPlaced(request: RoutingRequest, prefillTokens: number): void;
    /** To be called at a steady interval: takes a sample of the counts. */
    sample(): void;
    /** Rates over the window, with one entry per model and partner; none before the window is nearly covered. */
    rates(): readonly ArrivalRates[];
}

/** What the meter needs. */
export interface ArrivalMeterOptions {
    readonly exchange: LoadExchange;
    readonly membership: Membership;
    readonly clock: Clock;
    /** How far back rates look; {@link arrivalWindowMilliseconds} if absent. */
    readonly windowMilliseconds?: number;
}

interface Sample {
    /** Monotonic time. */
    readonly at: number;
    readonly totals: ReadonlyMap<string, ArrivalCounts>;
}

interface ArrivalMessage {
    readonly counts: readonly ArrivalCounts[];
}

interface PeerCounts {
    readonly incarnation: string;
    readonly counts: readonly ArrivalCounts[];
}

/** Means of one profile, moved by each placed request. */
interface ProfileMeans {
    /** Prefilled part of the prompt, from 0 to 1. */
    uncachedPart: number;
    outputTokens: number;
}

/** Long enough to even out chance, short against the minutes within which a mix swings. */
export const arrivalWindowMilliseconds = 12_000;
/** Rates are told once the samples cover this part of the window: a few seconds after a start say little. */
const coveredPart = 0.8;
const meanGain = 0.1;
const millisecondsPerSecond = 1_000;
const countNames = ["requests", "prefillTokens", "outputTokens", "worth", "changeCost", "betweenTokensLimit"] as const;

/** Creates the meter of one process and registers its part of the exchange. */
export function createArrivalMeter(options: ArrivalMeterOptions): ArrivalMeter {
    const { clock, exchange, membership } = options;
    const own = new Map<string, ArrivalCounts>();
    const ofPeers = new Map<string, PeerCounts>();
    const means = new Map<string, ProfileMeans>();
    const windowMilliseconds = options.windowMilliseconds ?? arrivalWindowMilliseconds;
    let samples: Sample[] = [];

    const recordArrival = (request: RoutingRequest) => {
        const { profile, partner } = request;
        const mean = means.get(keyOf(partner, profile.name));
        const counts = findCounts(own, profile.model, partner);
        counts.requests += 1;
        counts.prefillTokens += request.promptTokens * (mean?.uncachedPart ?? 1);
        counts.outputTokens += mean?.outputTokens ?? request.expectedOutputTokens;
        counts.worth += profile.goodputWorth;
        counts.changeCost += profile.roleChangeCost;
        counts.betweenTokensLimit += profile.betweenTokensLimitMilliseconds;
    };

    const recordPlaced = (request: RoutingRequest, prefillTokens: number) => {
        const key = keyOf(request.partner, request.profile.name);
        const uncachedPart = prefillTokens / Math.max(1, request.promptTokens);
        const mean = means.get(key) ?? { uncachedPart, outputTokens: request.expectedOutputTokens };
        mean.uncachedPart += (uncachedPart - mean.uncachedPart) * meanGain;
        mean.outputTokens += (request.expectedOutputTokens - mean.outputTokens) * meanGain;
        means.set(key, mean);
    };

    /** Counts of a peer that has ended stay in the total: taking them away would look like arrivals running backwards. */
    const addUp = () => {
        const totals = new Map<string, ArrivalCounts>();
        const lists = [[...own.values()], ...[...ofPeers.values()].map(peer => peer.counts)];
        for (const counts of lists.flat()) {
            const total = findCounts(totals, counts.model, counts.partner);
            countNames.forEach(name => total[name] += counts[name]);
        }
        return totals;
    };

    const sample = () => {
        const now = clock.monotonicNow();
        samples = [...samples, { at: now, totals: addUp() }].filter(one => one.at >= now - windowMilliseconds);
    };

    const rates = () => {
        const first = samples[0];
        const last = samples.at(-1);
        if (!first || !last || last.at - first.at < windowMilliseconds * coveredPart) {
            return [];
        }
        const seconds = (last.at - first.at) / millisecondsPerSecond;
        return [...last.totals.values()].map(total => computeRate(total, first.totals, seconds));
    };

    exchange.register({
        section: ExchangeSection.Arrivals,
        collect: () => own.size === 0 ? undefined : toJson<ArrivalMessage>({ counts: [...own.values()] }),
        receive: (content, from) => takePeer(content, from),
    });

    const takePeer = (content: JsonObject, from: ProcessIdentity) => {
        const { counts } = content as unknown as ArrivalMessage;
        const known = ofPeers.get(from.processId);
        if (known && known.incarnation !== from.incarnation) {
            // The new run counts from zero, so the old run's counts are kept under its own name.
            ofPeers.set(`${from.processId}/${known.incarnation}`, known);
            forgetOldRuns();
        }
        ofPeers.set(from.processId, { incarnation: from.incarnation, counts });
    };

    /** Only runs whose end lies within the window matter; more than the members there are can't. */
    const forgetOldRuns = () => {
        const oldRuns = [...ofPeers.keys()].filter(key => key.includes("/"));
        oldRuns.slice(0, Math.max(0, oldRuns.length - membership.others().length)).forEach(key => ofPeers.delete(key));
    };

    return { recordArrival, recordPlaced, sample, rates };
}

function computeRate(
    total: ArrivalCounts,
    earlier: ReadonlyMap<string, ArrivalCounts>,
    seconds: number,
): ArrivalRates {
    const before = earlier.get(keyOf(total.model, total.partner));
    const rate = createCounts(total.model, total.partner);
    // A run that was forgotten takes its counts with it; a rate is never below zero.
    countNames.forEach(name => rate[name] = Math.max(0, total[name] - (before?.[name] ?? 0)) / seconds);
    return rate;
}

function findCounts(counts: Map<string, ArrivalCounts>, model: string, partner: string): ArrivalCounts {
    const key = keyOf(model, partner);
    const known = counts.get(key) ?? createCounts(model, partner);
    counts.set(key, known);
    return known;
}

function createCounts(model: string, partner: string): ArrivalCounts {
    return {
        model,
        partner,
        requests: 0,
        prefillTokens: 0,
        outputTokens: 0,
        worth: 0,
        changeCost: 0,
        betweenTokensLimit: 0,
    };
}

function keyOf(left: string, right: string): string {
    return `${left}\n${right}`;
}
