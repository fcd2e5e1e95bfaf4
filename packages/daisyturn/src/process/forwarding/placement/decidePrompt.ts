import { Mechanism } from "../experiments/mechanism.js";
import type { LongPrefillTimes } from "../limits/createLongPrefillTimes.js";
import type { CallPlacement, PromptPlacement, PromptRequirements } from "./callPlacement.js";

/** A prompt that asks for its way. */
export interface DecisionRequest {
    readonly route: string;
    readonly demand: PromptRequirements;
    /** Milliseconds until the caller leaves, unless its answer has begun by then. */
    readonly patience: number;
    /** Whether prompts as long as this one were served too seldom, as far as this process knows. */
    readonly isUnderserved: () => boolean;
    /** Whether the longest prompts of the route were served too seldom. */
    readonly areLongestUnderserved: () => boolean;
}

/** Which way a prompt goes. */
export interface PromptDecision {
    readonly placement: PromptPlacement;
    /** Whether it goes among those that can be on time though it can't, since it is owed service. */
    readonly isUnderserved: boolean;
    /**
     * Milliseconds by which its answer, or while the longest prompts are owed service that of a long prompt in its place,
     * would begin after the caller has left; 0 or less if it begins before.
     */
    readonly lateness: number;
    /** The process that has decided, where that can be another one than asked. */
    readonly decidedBy?: string;
}

/** Decides which way prompts go. */
export abstract class PromptDecisions {
    /** Undefined if no engine can take the prompt. */
    abstract decide(request: DecisionRequest): Promise<PromptDecision | undefined>;
}

/** What {@link decidePrompt} needs. */
export interface DecisionParts {
    readonly placement: CallPlacement;
    readonly longPrefillTimes: LongPrefillTimes;
    readonly switchedOff: ReadonlySet<Mechanism>;
}

/** Decides by what this process knows. */
export class LocalDecisions extends PromptDecisions {
    constructor(private readonly parts: DecisionParts) {
        super();
    }

    override decide(request: DecisionRequest): Promise<PromptDecision | undefined> {
        return Promise.resolve(decidePrompt(this.parts, request));
    }
}

/** The queue is kept short for long prompts up to this part of a caller's patience. */
const mostReserveFraction = 0.75;

/**
 * The way that placement prefers. Where it is deferred or too late for a prompt that is owed service, the prompt goes among
 * those that can be on time instead: there the wait is short enough for any length, and nothing that comes later goes first.
 *
 * While the longest prompts of a route are owed service, a deferred prompt of any length is admitted only where a long one
 * in its place would begin before its caller leaves. Otherwise the queue would grow until only short prompts fit.
 */
export function decidePrompt(
    { placement, longPrefillTimes, switchedOff }: DecisionParts,
    { route, demand, patience, isUnderserved, areLongestUnderserved }: DecisionRequest,
): PromptDecision | undefined {
    const way = placement.placePrompt(demand);
    if (!way) {
        return undefined;
    }
    const reading = findReading(way);
    longPrefillTimes.record(route, reading);
    const isFair = !switchedOff.has(Mechanism.SizeFairness);
    const latenessOf = ({ soonestEvent }: PromptPlacement) => soonestEvent - patience;
    if ((way.isDeferred || latenessOf(way) > 0) && isFair && isUnderserved()) {
        const undeferred = placement.placePrompt({ ...demand, mayDefer: false });
        if (undeferred && latenessOf(undeferred) <= 0) {
            return { placement: undeferred, isUnderserved: true, lateness: latenessOf(undeferred) };
        }
    }
    const reserve = way.isDeferred && isFair && areLongestUnderserved()
        ? Math.min(longPrefillTimes.find(route), patience * mostReserveFraction) - reading
        : 0;
    return { placement: way, isUnderserved: false, lateness: latenessOf(way) + Math.max(0, reserve) };
}

/** Milliseconds that the prompt is read for at an engine that nothing slows. */
function findReading({ prefill, decode }: PromptPlacement): number {
    return (prefill ?? decode).leastWork;
}
