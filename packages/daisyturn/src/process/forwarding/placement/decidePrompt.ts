import { Mechanism } from "../experiments/mechanism.js";
import type { CallPlacement, PromptDemand, PromptWay } from "./callPlacement.js";

/** A prompt that asks for its way. */
export interface DecisionRequest {
    readonly route: string;
    readonly demand: PromptDemand;
    /** Milliseconds until the caller leaves, unless its answer has begun by then. */
    readonly patience: number;
    /** Whether prompts as long as this one were served too seldom, as far as this process knows. */
    readonly isOwed: () => boolean;
}

/** Which way a prompt goes. */
export interface PromptDecision {
    readonly way: PromptWay;
    /** Whether it goes among those that can be on time though it can't, since it is owed service. */
    readonly isOwed: boolean;
    /** Milliseconds by which its answer would begin after its caller has left; 0 or less if it begins before. */
    readonly lateness: number;
}

/** Decides which way prompts go. */
export abstract class PromptDecisions {
    /** Undefined if no engine can take the prompt. */
    abstract decide(request: DecisionRequest): Promise<PromptDecision | undefined>;
}

/** Decides by what this process knows. */
export class LocalDecisions extends PromptDecisions {
    constructor(private readonly placement: CallPlacement, private readonly switchedOff: ReadonlySet<Mechanism>) {
        super();
    }

    override decide(request: DecisionRequest): Promise<PromptDecision | undefined> {
        return Promise.resolve(decidePrompt(this.placement, this.switchedOff, request));
    }
}

/**
 * The way that placement prefers. Where it is deferred or too late for a prompt that is owed service, the prompt goes among
 * those that can be on time instead: there the wait is short enough for any length, and nothing that comes later goes first.
 */
export function decidePrompt(
    placement: CallPlacement,
    switchedOff: ReadonlySet<Mechanism>,
    { demand, patience, isOwed }: DecisionRequest,
): PromptDecision | undefined {
    const way = placement.placePrompt(demand);
    if (!way) {
        return undefined;
    }
    const latenessOf = ({ soonestEvent }: PromptWay) => soonestEvent - patience;
    const mayPass = (way.isDeferred || latenessOf(way) > 0) && !switchedOff.has(Mechanism.SizeFairness) && isOwed();
    const undeferred = mayPass ? placement.placePrompt({ ...demand, mayDefer: false }) : undefined;
    return undeferred && latenessOf(undeferred) <= 0
        ? { way: undeferred, isOwed: true, lateness: latenessOf(undeferred) }
        : { way, isOwed: false, lateness: latenessOf(way) };
}
