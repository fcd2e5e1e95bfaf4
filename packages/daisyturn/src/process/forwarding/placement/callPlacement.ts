import type { PromptDescription } from "../../../ports/forwardedCall.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { ForwardService } from "../../../version/forwarding/forwardingConfiguration.js";

/** Where one part of a call goes. */
export interface PlacedStep {
    readonly target: ListedTarget;
    /** Estimated milliseconds of expensive work there, and before the target turns to it. */
    readonly work: number;
    readonly wait: number;
    /** The same work at an engine that nothing slows. */
    readonly leastWork: number;
    /** Tokens of the prompt that need not be read there, since they are kept or fetched. */
    readonly keptTokens: number;
    /** Estimated milliseconds to read what the prompt shares with others, or to fetch it where that is done. */
    readonly sharedWork: number;
    /** The engine from which it fetches the KV cache of a beginning that it lacks. */
    readonly fetchFrom?: ListedTarget;
}

/** How a prompt is served: read at one engine and decoded at another, or both at one. */
export interface PromptPlacement {
    readonly prefill?: PlacedStep;
    readonly decode: PlacedStep;
    /** Estimated milliseconds to the first event. */
    readonly firstEvent: number;
    /**
     * The same, with the prompt read as fast as an engine can. Refusals go by it: how slow engines seem to be also holds
     * work that nobody has told of, and would have long prompts refused that are served in time.
     */
    readonly soonestEvent: number;
    /** Milliseconds that an engine which only reads would need for the prompt. */
    readonly reading: number;
    /** Whether the answer will be late anyway and lets those go first that can still be on time. */
    readonly isDeferred: boolean;
}

/** A prompt that is to be placed. */
export interface PromptRequirements {
    readonly service: ForwardService;
    readonly prompt: PromptDescription;
    readonly bodyBytes: number;
    /** Targets that failed the call. */
    readonly avoid: ReadonlySet<string>;
    /** Whether both parts have to be done by one engine. */
    readonly isWholeOnly: boolean;
    /** Milliseconds within which the first event is on time. */
    readonly aim: number;
    /** Whether the prompt may be made to wait for others once it can't be on time. */
    readonly mayDefer: boolean;
    /** Shortest pause that the service's answers may make, in milliseconds. */
    readonly pauseAim: number;
    /** Where the process stands that sends the prompt. */
    readonly availabilityZone: string;
}

/** Chooses targets for calls. */
export abstract class CallPlacement {
    abstract placePlain(service: string, avoid: ReadonlySet<string>): ListedTarget | undefined;
    /** The way that a prompt is to go; undefined if no engine can take it. */
    abstract placePrompt(demand: PromptRequirements): PromptPlacement | undefined;
}

/** KV cache that a call holds until its end. */
export function countTokens({ promptTokens, expectedOutputTokens, maxOutputTokens }: PromptDescription): number {
    return promptTokens + Math.min(expectedOutputTokens, maxOutputTokens);
}
