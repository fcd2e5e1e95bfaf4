import { Mechanism } from "../experiments/mechanism.js";
import type { LongPrefillTimes } from "../limits/createLongPrefillTimes.js";
import type { CallPlacement, PromptPlacement, PromptRequirements } from "./callPlacement.js";

/** A prompt whose placement is to be decided. */
export interface DecisionRequest {
    readonly route: string;
    readonly demand: PromptRequirements;
    /** Milliseconds until the caller leaves, unless its answer has begun by then. */
    readonly patience: number;
    /** Whether prompts of this length are underserved, according to the data of this process. */
    readonly isUnderserved: () => boolean;
    /** Whether the longest prompts of the route are underserved. */
    readonly areLongestUnderserved: () => boolean;
}

/** The placement that was decided for a prompt. */
export interface PromptDecision {
    readonly placement: PromptPlacement;
    /** Whether the prompt is placed without deferral although it can't be on time, since it is underserved. */
    readonly isUnderserved: boolean;
    /**
     * Milliseconds by which its answer would begin after the caller has left; 0 or less if it begins before. While the
     * longest prompts are underserved, the answer of a long prompt in its place counts instead.
     */
    readonly lateness: number;
    /** The process that has decided, if another process may have done so. */
    readonly decidedBy?: string;
}

/** Decides how prompts are placed. */
export abstract class PromptDecisions {
    /** Undefined if no engine can serve the prompt. */
    abstract decide(request: DecisionRequest): Promise<PromptDecision | undefined>;
}

/** What {@link decidePrompt} needs. */
export interface DecisionParts {
    readonly placement: CallPlacement;
    readonly longPrefillTimes: LongPrefillTimes;
    readonly switchedOff: ReadonlySet<Mechanism>;
}

/** Decides with the data of this process. */
export class LocalDecisions extends PromptDecisions {
    constructor(private readonly parts: DecisionParts) {
        super();
    }

    override decide(request: DecisionRequest): Promise<PromptDecision | undefined> {
        return Promise.resolve(decidePrompt(this.parts, request));
    }
}

/** The time that is reserved for long prompts in the queue is at most this fraction of the caller's patience. */
const maxReserveFraction = 0.75;

/**
 * Decides on the placement that the policy prefers. If an underserved prompt would be deferred or too late, it is
 * placed without deferral instead, among those that can be on time: their wait is short enough for a prompt of any
 * length, and no later call overtakes it.
 *
 * While the longest prompts of a route are underserved, a deferred prompt of any length is admitted only if a long one
 * in its place would begin before its caller leaves. Otherwise the queue would grow until only short prompts fit.
 */
export function decidePrompt(
    { placement, longPrefillTimes, switchedOff }: DecisionParts,
    { route, demand, patience, isUnderserved, areLongestUnderserved }: DecisionRequest,
): PromptDecision | undefined {
    const preferred = placement.placePrompt(demand);
    if (!preferred) {
        return undefined;
    }
    const prefillTime = findPrefillTime(preferred);
    longPrefillTimes.record(route, prefillTime);
    const isFair = !switchedOff.has(Mechanism.SizeFairness);
    const latenessOf = ({ soonestEvent }: PromptPlacement) => soonestEvent - patience;
    if ((preferred.isDeferred || latenessOf(preferred) > 0) && isFair && isUnderserved()) {
        const undeferred = placement.placePrompt({ ...demand, mayDefer: false });
        if (undeferred && latenessOf(undeferred) <= 0) {
            return { placement: undeferred, isUnderserved: true, lateness: latenessOf(undeferred) };
        }
    }
    const reserve = preferred.isDeferred && isFair && areLongestUnderserved()
        ? Math.min(longPrefillTimes.find(route), patience * maxReserveFraction) - prefillTime
        : 0;
    return { placement: preferred, isUnderserved: false, lateness: latenessOf(preferred) + Math.max(0, reserve) };
}

/** Milliseconds to prefill the prompt at an engine without slowdown. */
function findPrefillTime({ prefill, decode }: PromptPlacement): number {
    return (prefill ?? decode).leastWork;
}
