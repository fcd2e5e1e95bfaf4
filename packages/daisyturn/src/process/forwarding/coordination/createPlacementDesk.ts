import type { Clock } from "daisyturn-utils";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { ForwardService } from "../../../version/forwarding/forwardingConfiguration.js";
import type { SizeFairness } from "../limits/createSizeFairness.js";
import { measureSize } from "../limits/measureSize.js";
import { countTokens, type PlacedStep } from "../placement/callPlacement.js";
import type { DecisionRequest, PromptDecision } from "../placement/decidePrompt.js";
import type { TargetLoads } from "../views/createTargetLoads.js";
import type { PlacementAnswer, PlacementAsk, PlacementStep } from "./messages/placementMessages.js";

/** Places prompts for the processes of a group. */
export interface PlacementDesk {
    answer(ask: PlacementAsk): PlacementAnswer;
    /** A process has told what it has under way, with the placements up to this number in it. */
    noteTaken(peerId: string, number: number): void;
}

/** What {@link createPlacementDesk} needs. */
export interface PlacementDeskOptions {
    readonly coordinatorId: string;
    readonly decide: (request: DecisionRequest) => PromptDecision | undefined;
    readonly findService: (name: string) => ForwardService | undefined;
    readonly loads: TargetLoads;
    readonly sizeFairness: SizeFairness;
    readonly clock: Clock;
}

/** A process that has not told of a placement by then has not taken it. */
const untakenMilliseconds = 1_500;

interface GivenPlacement {
    readonly number: number;
    readonly loadId: string;
    /** Monotonic time. */
    readonly givenAt: number;
}

/**
 * Creates the desk of one coordinator. What it has placed counts as under way from that moment on, until the process that
 * took it tells of it: so two prompts that come within the same millisecond see each other.
 */
export function createPlacementDesk(options: PlacementDeskOptions): PlacementDesk {
    const { coordinatorId, loads, sizeFairness, clock } = options;
    const given = new Map<string, GivenPlacement[]>();
    let numbers = 0;

    const describeRequest = (ask: PlacementAsk): DecisionRequest => ({
        route: ask.route,
        demand: {
            ...ask,
            service: options.findService(ask.service) ?? { name: ask.service },
            avoid: new Set(ask.avoid),
            mayDefer: true,
        },
        patience: ask.patience,
        isUnderserved: () => sizeFairness.isUnderserved(ask.route, measureSize(ask.prompt)),
        areLongestUnderserved: () => sizeFairness.areLongestUnderserved(ask.route),
    });

    /** A prompt that will be refused is not under way. */
    const give = (ask: PlacementAsk, { placement: way, lateness }: PromptDecision, number: number) => {
        if (lateness > 0) {
            return;
        }
        const heavy = way.prefill ?? way.decode;
        const deferred = way.isDeferred ? heavy.work : 0;
        const loadId = `${ask.from}#${number}`;
        const work = [{
            targetId: heavy.target.targetId,
            calls: 1,
            work: heavy.work - deferred,
            deferredWork: deferred,
            tokens: way.prefill ? ask.prompt.promptTokens : countTokens(ask.prompt),
        }];
        loads.recordPeer(loadId, work, 0);
        given.set(ask.from, [...given.get(ask.from) ?? [], { number, loadId, givenAt: clock.monotonicNow() }]);
    };

    const drop = (peerId: string, upTo: number) => {
        const oldest = clock.monotonicNow() - untakenMilliseconds;
        const isOver = ({ number, givenAt }: GivenPlacement) => number <= upTo || givenAt < oldest;
        const placements = given.get(peerId) ?? [];
        placements.filter(isOver).forEach(({ loadId }) => loads.forgetPeer(loadId));
        const left = placements.filter(placement => !isOver(placement));
        if (left.length > 0) {
            given.set(peerId, left);
        }
        else {
            given.delete(peerId);
        }
    };

    return {
        answer: ask => {
            const decision = options.decide(describeRequest(ask));
            numbers += 1;
            if (decision) {
                give(ask, decision, numbers);
            }
            return describeAnswer(coordinatorId, ask, numbers, decision);
        },
        noteTaken: drop,
    };
}

function describeAnswer(
    coordinatorId: string,
    { askId }: PlacementAsk,
    number: number,
    decision: PromptDecision | undefined,
): PlacementAnswer {
    const way = decision?.placement;
    return {
        from: coordinatorId,
        askId,
        number,
        prefill: way?.prefill && describeStep(way.prefill),
        decode: way && describeStep(way.decode),
        firstEvent: Math.round(way?.firstEvent ?? 0),
        soonestEvent: Math.round(way?.soonestEvent ?? 0),
        reading: Math.round(way?.reading ?? 0),
        isDeferred: way?.isDeferred ?? false,
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

/** The decision that an answer tells; undefined where this process does not know a target of it. */
export function readDecision(
    answer: PlacementAnswer,
    patience: number,
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
    const { firstEvent, soonestEvent, reading, isDeferred, isOwed } = answer;
    const way = { prefill, decode, firstEvent, soonestEvent, reading, isDeferred };
    return {
        placement: way,
        isUnderserved: isOwed,
        lateness: answer.lateness ?? soonestEvent - patience,
        decidedBy: answer.from,
    };
}
