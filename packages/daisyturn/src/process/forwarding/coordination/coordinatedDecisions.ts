import type { ListedTarget } from "../../../ports/listedTarget.js";
import { type DecisionRequest, type PromptDecision, PromptDecisions } from "../placement/decidePrompt.js";
import type { CacheEstimates } from "../views/createCacheEstimates.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";
import type { PlacementClient, PlacementQuestion } from "./createPlacementClient.js";
import { readDecision } from "./createPlacementDesk.js";

/** What {@link CoordinatedDecisions} needs. */
export interface CoordinatedDecisionsOptions {
    readonly selfId: string;
    readonly link: Pick<CoordinatorLink, "current">;
    readonly client: PlacementClient;
    /** Decides by what this process knows. */
    readonly decideHere: (request: DecisionRequest) => PromptDecision | undefined;
    readonly caches: CacheEstimates;
    readonly findTarget: (targetId: string) => ListedTarget | undefined;
    /** Targets of a service that this process does not trust. */
    readonly listDistrusted: (service: string) => readonly string[];
}

/** Has the coordinator decide, which knows what the whole group has under way; by itself while there is none. */
export class CoordinatedDecisions extends PromptDecisions {
    constructor(private readonly options: CoordinatedDecisionsOptions) {
        super();
    }

    override async decide(request: DecisionRequest): Promise<PromptDecision | undefined> {
        const { selfId, link, client, findTarget } = this.options;
        const coordinator = link.current();
        if (coordinator && coordinator.peerId !== selfId) {
            const answer = await client.ask(coordinator, this.describeQuestion(request));
            const decision = answer && readDecision(answer, request.patience, findTarget);
            if (decision) {
                return decision;
            }
        }
        return this.decideHere(request);
    }

    private decideHere(request: DecisionRequest): PromptDecision | undefined {
        const decision = this.options.decideHere(request);
        noteKept(this.options.caches, request, decision);
        return decision && { ...decision, decidedBy: this.options.selfId };
    }

    private describeQuestion({ route, demand, patience }: DecisionRequest): PlacementQuestion {
        const { service, prompt, bodyBytes, avoid, isWholeOnly, aim, pauseAim, availabilityZone } = demand;
        return {
            availabilityZone,
            service: service.name,
            route,
            prompt,
            bodyBytes,
            avoid: [...avoid, ...this.options.listDistrusted(service.name)],
            isWholeOnly,
            aim,
            pauseAim,
            patience,
        };
    }
}

/** What an engine is about to read, it keeps for the prompts that come next. */
export function noteKept(
    caches: Pick<CacheEstimates, "record">,
    { demand: { service, prompt } }: DecisionRequest,
    decision: PromptDecision | undefined,
): void {
    if (decision && decision.lateness <= 0) {
        const { prefill, decode } = decision.placement;
        const kvTokens = service.engine?.kvTokens ?? 0;
        [prefill, decode].forEach(step => step && caches.record(step.target.targetId, prompt.parts, kvTokens));
    }
}
