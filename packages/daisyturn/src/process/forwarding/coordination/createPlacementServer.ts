import type { Clock } from "daisyturn-utils";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { ForwardService } from "../../../version/forwarding/forwardingConfiguration.js";
import type { SizeFairness } from "../limits/createSizeFairness.js";
import { measureSize } from "../limits/measureSize.js";
import { countTokens, type PlacedStep } from "../placement/callPlacement.js";
import type { DecisionRequest, PromptDecision } from "../placement/decidePrompt.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import type { PlacementAnswer, PlacementRequest, PlacementStep } from "./messages/placementMessages.js";

/** Places prompts for the processes of a group. */
export interface PlacementServer {
    answer(request: PlacementRequest): PlacementAnswer;
    /** Applies an acknowledgment: the load that a process reports includes its placements up to this number. */
    acknowledge(peerId: string, number: number): void;
}

/** What {@link createPlacementServer} needs. */
export interface PlacementServerOptions {
    readonly coordinatorId: string;
    readonly decide: (request: DecisionRequest) => PromptDecision | undefined;
    readonly findService: (name: string) => ForwardService | undefined;
    readonly loads: TargetLoads;
    readonly sizeFairness: SizeFairness;
    readonly clock: Clock;
}

/** A placement that its process does not acknowledge within this time is presumed unused. */
const acknowledgmentTimeoutMilliseconds = 1_500;

interface PendingPlacement {
    readonly number: number;
    readonly loadId: string;
    /** Monotonic time. */
    readonly answeredAt: number;
}

/**
 * Creates the placement server of one coordinator. A placement counts as load from the moment of the answer until the
 * process that requested it reports it, so that the placements of prompts that arrive at the same time take each other
 * into account.
 */
export function createPlacementServer(options: PlacementServerOptions): PlacementServer {
    const { coordinatorId, loads, sizeFairness, clock } = options;
    const pendingByPeer = new Map<string, PendingPlacement[]>();
    let lastNumber = 0;

    const describeRequest = (request: PlacementRequest): DecisionRequest => ({
        route: request.route,
        demand: {
            ...request,
            service: options.findService(request.service) ?? { name: request.service },
            avoid: new Set(request.avoid),
            mayDefer: request.mayDefer ?? true,
        },
        patience: request.patience,
        isUnderserved: () => sizeFairness.isUnderserved(request.route, measureSize(request.prompt)),
        areLongestUnderserved: () => sizeFairness.areLongestUnderserved(request.route),
    });

    /** Adds a placement to the load, unless its prompt will be refused. */
    const addPending = (request: PlacementRequest, { placement, lateness }: PromptDecision, number: number) => {
        if (lateness > 0) {
            return;
        }
        const prefillStep = placement.prefill ?? placement.decode;
        const deferred = placement.isDeferred ? prefillStep.work : 0;
        const loadId = `${request.from}#${number}`;
        const work = [{
            targetId: prefillStep.target.targetId,
            calls: 1,
            work: prefillStep.work - deferred,
            deferredWork: deferred,
            tokens: placement.prefill ? request.prompt.promptTokens : countTokens(request.prompt),
        }];
        loads.recordPeer(loadId, work, 0);
        pendingByPeer.set(request.from, [...pendingByPeer.get(request.from) ?? [], {
            number,
            loadId,
            answeredAt: clock.monotonicNow(),
        }]);
    };

    const removePending = (peerId: string, upTo: number) => {
        const oldest = clock.monotonicNow() - acknowledgmentTimeoutMilliseconds;
        const isSettled = ({ number, answeredAt }: PendingPlacement) => number <= upTo || answeredAt < oldest;
        const placements = pendingByPeer.get(peerId) ?? [];
        placements.filter(isSettled).forEach(({ loadId }) => loads.forgetPeer(loadId));
        const remaining = placements.filter(placement => !isSettled(placement));
        if (remaining.length > 0) {
            pendingByPeer.set(peerId, remaining);
        }
        else {
            pendingByPeer.delete(peerId);
        }
    };

    return {
        answer: request => {
            const decision = options.decide(describeRequest(request));
            lastNumber += 1;
            if (decision) {
                addPending(request, decision, lastNumber);
            }
            return describeAnswer(coordinatorId, request, lastNumber, decision);
        },
        acknowledge: removePending,
    };
}

function describeAnswer(
    coordinatorId: string,
    { askId }: PlacementRequest,
    number: number,
    decision: PromptDecision | undefined,
): PlacementAnswer {
    const placement = decision?.placement;
    return {
        from: coordinatorId,
        askId,
        number,
        prefill: placement?.prefill && describeStep(placement.prefill),
        decode: placement && describeStep(placement.decode),
        firstEvent: Math.round(placement?.firstEvent ?? 0),
        soonestEvent: Math.round(placement?.soonestEvent ?? 0),
        reading: Math.round(placement?.prefillMilliseconds ?? 0),
        isDeferred: placement?.isDeferred ?? false,
        isOwed: decision?.isUnderserved ?? false,
        lateness: Math.round(decision?.lateness ?? 0),
    };
}

function describeStep({ target, work, wait, leastWork, keptTokens, fetchFrom }: PlacedStep): PlacementStep {
    const [roundedWork = 0, roundedWait = 0, roundedLeastWork = 0] = [work, wait, leastWork].map(Math.round);
    return {
        targetId: target.targetId,
        work: roundedWork,
        wait: roundedWait,
        leastWork: roundedLeastWork,
        keptTokens,
        ...(fetchFrom && { fetchFrom: fetchFrom.targetId }),
    };
}

/**
 * Converts an answer to a decision. Returns undefined if this process does not know one of its targets, or if their
 * software versions do not fit, because the sender's version does not regard them.
 */
export function readDecision(
    answer: PlacementAnswer,
    patience: number,
    softwareVersion: string | undefined,
    findTarget: (targetId: string) => ListedTarget | undefined,
): PromptDecision | undefined {
    const readStep = (step: PlacementStep): PlacedStep | undefined => {
        const target = findTarget(step.targetId);
        const fetchFrom = step.fetchFrom === undefined ? undefined : findTarget(step.fetchFrom);
        return target && { ...step, target, sharedWork: 0, fetchFrom };
    };
    const prefill = answer.prefill && readStep(answer.prefill);
    const decode = answer.decode && readStep(answer.decode);
    if (!decode || (answer.prefill && !prefill)) {
        return undefined;
    }
    const engines = [decode.target, prefill?.target, decode.fetchFrom, prefill?.fetchFrom].filter(engine => engine);
    const requiredVersion = softwareVersion ?? decode.target.softwareVersion;
    if (engines.some(engine => engine?.softwareVersion !== requiredVersion)) {
        return undefined;
    }
    const { firstEvent, soonestEvent, reading, isDeferred, isOwed } = answer;
    const placement = { prefill, decode, firstEvent, soonestEvent, prefillMilliseconds: reading, isDeferred };
    return {
        placement,
        isUnderserved: isOwed,
        lateness: answer.lateness ?? soonestEvent - patience,
        decidedBy: answer.from,
    };
}
