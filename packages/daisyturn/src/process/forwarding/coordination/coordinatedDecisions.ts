import type { ListedTarget } from "../../../ports/listedTarget.js";
import { type DecisionRequest, type PromptDecision, PromptDecisions } from "../placement/decidePrompt.js";
import type { CacheEstimates } from "../views/createCacheEstimates.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";
import type { PlacementClient, PlacementQuery } from "./createPlacementClient.js";
import { readDecision } from "./createPlacementServer.js";

/** What {@link CoordinatedDecisions} needs. */
export interface CoordinatedDecisionsOptions {
    readonly selfId: string;
    readonly link: Pick<CoordinatorLink, "current">;
    readonly client: PlacementClient;
    /** Decides with the information of this process alone. */
    readonly decideLocally: (request: DecisionRequest) => PromptDecision | undefined;
    readonly caches: CacheEstimates;
    readonly findTarget: (targetId: string) => ListedTarget | undefined;
    /** Lists the targets of a service that this process does not trust. */
    readonly listDistrusted: (service: string, isResumption: boolean) => readonly string[];
}

/**
 * Requests decisions from the coordinator, which knows the load of the whole group. Decides locally while there is no
 * coordinator, or if it does not answer in time.
 */
export class CoordinatedDecisions extends PromptDecisions {
    constructor(private readonly options: CoordinatedDecisionsOptions) {
        super();
    }

    override async decide(request: DecisionRequest): Promise<PromptDecision | undefined> {
        const { selfId, link, client, findTarget } = this.options;
        const coordinator = link.current();
        if (coordinator && coordinator.peerId !== selfId) {
            const answer = await client.request(coordinator, this.describeQuery(request));
            const decision = answer
                && readDecision(answer, request.patience, request.demand.softwareVersion, findTarget);
            if (decision) {
                return decision;
            }
        }
        return this.decideLocally(request);
    }

    private decideLocally(request: DecisionRequest): PromptDecision | undefined {
        const decision = this.options.decideLocally(request);
        recordRetained(this.options.caches, request, decision);
        return decision && { ...decision, decidedBy: this.options.selfId };
    }

    private describeQuery({ route, demand, patience }: DecisionRequest): PlacementQuery {
        const { service, prompt, bodyBytes, avoid, softwareVersion, isWholeOnly, aim, pauseAim, availabilityZone } =
            demand;
        return {
            availabilityZone,
            service: service.name,
            route,
            prompt,
            bodyBytes,
            avoid: [...avoid, ...this.options.listDistrusted(service.name, softwareVersion !== undefined)],
            softwareVersion,
            isWholeOnly,
            aim,
            pauseAim,
            mayDefer: demand.mayDefer,
            patience,
        };
    }
}

/** Records that an engine will have the parts of a prompt in its cache, because it is about to prefill them. */
export function recordRetained(
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
