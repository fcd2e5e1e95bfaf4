import type { PromptDescription } from "../../../ports/forwardedCall.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { ForwardService } from "../../../version/forwarding/forwardingConfiguration.js";

/** The target of one step of a call, with the estimates for that step. */
export interface PlacedStep {
    readonly target: ListedTarget;
    /** Estimated milliseconds of expensive work at the target, and of waiting before this work begins. */
    readonly work: number;
    readonly wait: number;
    /** The same work without the target's slowdown. */
    readonly leastWork: number;
    /** Tokens of the prompt that the target need not prefill, since they are cached there or fetched. */
    readonly keptTokens: number;
    /** Estimated milliseconds to prefill the prefix that other prompts share, or to fetch it if the step does so. */
    readonly sharedWork: number;
    /** The engine from which the target fetches the KV cache of a prefix that it lacks. */
    readonly fetchFrom?: ListedTarget;
}

/** How a prompt is served: prefilled at one engine and decoded at another, or both at one. */
export interface PromptPlacement {
    readonly prefill?: PlacedStep;
    readonly decode: PlacedStep;
    /** Estimated milliseconds to the first event. */
    readonly firstEvent: number;
    /**
     * The same without slowdowns. Prompts are refused by this value: an observed slowdown also contains work that no
     * process has reported, so with it long prompts would be refused that can be served in time.
     */
    readonly soonestEvent: number;
    /** Milliseconds that an engine which only prefills would need for the prompt. */
    readonly prefillMilliseconds: number;
    /** Whether the answer will be late in any case and yields to calls that can still be on time. */
    readonly isDeferred: boolean;
}

/** Which targets of a service may serve a call. */
export interface TargetRestriction {
    /** Ids of the targets that failed the call. */
    readonly avoid: ReadonlySet<string>;
    /** The only software version that may continue the call's stream; undefined while the stream has not begun. */
    readonly softwareVersion?: string;
}

/** A prompt that is to be placed. */
export interface PromptRequirements extends TargetRestriction {
    readonly service: ForwardService;
    readonly prompt: PromptDescription;
    readonly bodyBytes: number;
    /** Whether one engine has to prefill and decode the prompt. */
    readonly isWholeOnly: boolean;
    /** Milliseconds within which the first event is on time. */
    readonly aim: number;
    /** Whether the prompt may be deferred once it can't be on time. */
    readonly mayDefer: boolean;
    /** Target pause between two events in milliseconds, the shortest of all routes of the service. */
    readonly pauseAim: number;
    /** Availability zone of the process that sends the prompt. */
    readonly availabilityZone: string;
}

/** Chooses targets for calls. */
export abstract class CallPlacement {
    abstract placePlain(service: string, restriction: TargetRestriction): ListedTarget | undefined;
    /**
     * Chooses the placement of a prompt; undefined if no engine can serve it. All its engines have the same software
     * version, because the KV cache of one does not fit another.
     */
    abstract placePrompt(demand: PromptRequirements): PromptPlacement | undefined;
}

/** Tokens of KV cache that a call occupies until its end. */
export function countTokens({ promptTokens, expectedOutputTokens, maxOutputTokens }: PromptDescription): number {
    return promptTokens + Math.min(expectedOutputTokens, maxOutputTokens);
}
