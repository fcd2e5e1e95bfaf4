import { type Clock, type JsonObject, toJson } from "daisyturn-utils";
import { ExchangeSection, type LoadExchange, type Membership, type ProcessIdentity } from "../peers/index.js";
import type { RoutingRequest } from "../routing/index.js";

/** Arrivals for one model from one partner. The counts start with the process and never decrease. */
export interface ArrivalCounts {
    readonly model: string;
    readonly partner: string;
    requests: number;
    /** Estimated prompt tokens to prefill. */
    prefillTokens: number;
    outputTokens: number;
    /** Sum of the profiles' `goodputWorth`. */
    worth: number;
    /** Sum of the profiles' `roleChangeCost`, for their mean. */
    changeCost: number;
    /** Sum of the profiles' limits between tokens, in milliseconds, for their mean. */
    betweenTokensLimit: number;
}

/** Arrivals per second in the whole cell within the window. */
export type ArrivalRates = Readonly<ArrivalCounts>;

/** Counts arriving requests. Refused requests are included, because a lack of engines does not reduce demand. */
export interface ArrivalMeter {
    recordArrival(request: RoutingRequest): void;
    /** Records the actual work of a placed request, which improves the estimates for later arrivals. */
    recordPlaced(request: RoutingRequest, prefillTokens: number): void;
    /** Takes a sample of the counts. Must be called at a steady interval. */
    sample(): void;
    /** Rates over the window, one entry per model and partner; empty until samples cover most of the window. */
    rates(): readonly ArrivalRates[];
}

/** What the meter needs. */
export interface ArrivalMeterOptions {
    readonly exchange: LoadExchange;
    readonly membership: Membership;
    readonly clock: Clock;
    /** Window of the rates; {@link arrivalWindowMilliseconds} by default. */
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

/** Moving averages over the placed requests of one profile. */
interface ProfileMeans {
    /** Fraction of the prompt that is not cached and must be prefilled, from 0 to 1. */
    uncachedFraction: number;
    outputTokens: number;
}

/** Long enough to average out random variation, and short compared to the minutes in which a mix swings. */
export const arrivalWindowMilliseconds = 12_000;
/** Fraction of the window that samples must cover, because the first seconds after a start are not representative. */
const minCoveredFraction = 0.8;
const meanGain = 0.1;
const millisecondsPerSecond = 1_000;
const countNames = ["requests", "prefillTokens", "outputTokens", "worth", "changeCost", "betweenTokensLimit"] as const;

/** Creates the meter of one process and registers its section of the exchange. */
export function createArrivalMeter(options: ArrivalMeterOptions): ArrivalMeter {
    const { clock, exchange, membership } = options;
    const ownCounts = new Map<string, ArrivalCounts>();
    const peerCounts = new Map<string, PeerCounts>();
    const means = new Map<string, ProfileMeans>();
    const windowMilliseconds = options.windowMilliseconds ?? arrivalWindowMilliseconds;
    let samples: Sample[] = [];

    const recordArrival = (request: RoutingRequest) => {
        const { profile, partner } = request;
        const mean = means.get(keyOf(partner, profile.name));
        const counts = findCounts(ownCounts, profile.model, partner);
        counts.requests += 1;
        counts.prefillTokens += request.promptTokens * (mean?.uncachedFraction ?? 1);
        counts.outputTokens += mean?.outputTokens ?? request.expectedOutputTokens;
        counts.worth += profile.goodputWorth;
        counts.changeCost += profile.roleChangeCost;
        counts.betweenTokensLimit += profile.betweenTokensLimitMilliseconds;
    };

    const recordPlaced = (request: RoutingRequest, prefillTokens: number) => {
        const key = keyOf(request.partner, request.profile.name);
        const uncachedFraction = prefillTokens / Math.max(1, request.promptTokens);
        const mean = means.get(key) ?? { uncachedFraction, outputTokens: request.expectedOutputTokens };
        mean.uncachedFraction += (uncachedFraction - mean.uncachedFraction) * meanGain;
        mean.outputTokens += (request.expectedOutputTokens - mean.outputTokens) * meanGain;
        means.set(key, mean);
    };

    /** The total includes the counts of peers that have ended. Without them, the total would decrease. */
    const sumCounts = () => {
        const totals = new Map<string, ArrivalCounts>();
        const lists = [[...ownCounts.values()], ...[...peerCounts.values()].map(peer => peer.counts)];
        for (const counts of lists.flat()) {
            const total = findCounts(totals, counts.model, counts.partner);
            countNames.forEach(name => total[name] += counts[name]);
        }
        return totals;
    };

    const sample = () => {
        const now = clock.monotonicNow();
        samples = [...samples, { at: now, totals: sumCounts() }].filter(one => one.at >= now - windowMilliseconds);
    };

    const rates = () => {
        const first = samples[0];
        const last = samples.at(-1);
        if (!first || !last || last.at - first.at < windowMilliseconds * minCoveredFraction) {
            return [];
        }
        const seconds = (last.at - first.at) / millisecondsPerSecond;
        return [...last.totals.values()].map(total => computeRate(total, first.totals, seconds));
    };

    exchange.register({
        section: ExchangeSection.Arrivals,
        collect: () => ownCounts.size === 0 ? undefined : toJson<ArrivalMessage>({ counts: [...ownCounts.values()] }),
        receive: (content, from) => applyPeerCounts(content, from),
    });

    const applyPeerCounts = (content: JsonObject, from: ProcessIdentity) => {
        const { counts } = content as unknown as ArrivalMessage;
        const known = peerCounts.get(from.processId);
        if (known && known.incarnation !== from.incarnation) {
            // The new incarnation counts from zero, so the counts of the old one are retained under its own key.
            peerCounts.set(`${from.processId}/${known.incarnation}`, known);
            removeOldIncarnations();
        }
        peerCounts.set(from.processId, { incarnation: from.incarnation, counts });
    };

    /**
     * Only incarnations that ended within the window affect the rates. There are presumed to be at most as many of them
     * as other members.
     */
    const removeOldIncarnations = () => {
        const ended = [...peerCounts.keys()].filter(key => key.includes("/"));
        ended.slice(0, Math.max(0, ended.length - membership.others().length)).forEach(key => peerCounts.delete(key));
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
    // The total decreases when an old incarnation is removed. The rate is then limited to zero.
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
