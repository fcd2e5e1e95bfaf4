import { type Clock, type EventLog, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { Priority } from "../../ports/engine.js";
import type { CallerAccount } from "../../version/configurationItems.js";
import type { ConfigurationManager } from "../configuration/index.js";
import type { LoadView } from "../load/index.js";
import type { Membership, PeerNetwork } from "../peers/index.js";
import type { PlanningRouter, RoutingRequest } from "../routing/index.js";
import { createAccountLimits } from "./accountLimits.js";
import type { Admission, AdmissionTicket } from "./admission.js";
import {
    type AdmissionQueueBounds,
    createAdmissionQueue,
    defaultQueueBounds,
    type Lane,
    type WaitingRequest,
} from "./admissionQueue.js";
import { createEngineRoom, type RoomAssessment } from "./engineRoom.js";
import { createPartnerUse } from "./partnerUse.js";
import { createRetryTimes } from "./retryTimes.js";
import { createRoomTurns } from "./roomTurns.js";

/** What {@link createAdmission} needs. */
export interface AdmissionOptions {
    readonly loadView: LoadView;
    readonly router: PlanningRouter;
    readonly configurationManager: ConfigurationManager;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly bounds?: AdmissionQueueBounds;
}

/** An admission that has to be run. */
export interface RunningAdmission extends Admission {
    /** Lets waiting requests in as engines get room, until `signal` is aborted; then refuses those still waiting. */
    run(signal: AbortSignal): Promise<void>;
    /** Requests that wait now. */
    waitingRequests(): number;
}

const emptyTicket: AdmissionTicket = { release: () => undefined };
const millisecondsPerSecond = 1_000;

type Answer = Result<AdmissionTicket, Failure>;

/** How often waiting requests are looked at. */
const pumpIntervalMilliseconds = 20;
/** When to try again if no engine is open at all. */
const noTargetRetryMilliseconds = 1_000;
/** Estimates err: a first token may take so many times as long, and so much longer, as estimated. */
const cautionFactor = 1.25;
const cautionMilliseconds = 50;
/** Longest stay in the queue, whatever the request's own deadline allows. */
const longestWaitMilliseconds = 30_000;

/** Creates the admission of one process. */
export function createAdmission(options: AdmissionOptions): RunningAdmission {
    const { loadView, router, configurationManager, membership, clock } = options;
    const { exchange } = loadView;
    const limits = createAccountLimits({ exchange, membership, configurationManager, clock });
    const weightOf = (partner: string) => configurationManager.current().shareWeight(partner);
    const { processId } = options.network.self;
    const use = createPartnerUse({ exchange, membership, clock, processId });
    const turns = createRoomTurns({ use, clock, processId, weightOf });
    const room = createEngineRoom({ loadView, router, configurationManager, use, turns });
    const queue = createAdmissionQueue(options.bounds ?? defaultQueueBounds);
    const retryTimes = createRetryTimes(clock, room.drainRate);
    const refusals = new Map<WaitingRequest, (failure: Failure) => void>();

    const admitModelRequest = async (account: CallerAccount, request: RoutingRequest, signal: AbortSignal) => {
        const ofAccount = limits.admit(account);
        if (ofAccount.isErr) {
            return ofAccount;
        }
        const answer = await admitToEngines(request, signal);
        if (answer.isErr) {
            ofAccount.value.release();
            return answer;
        }
        return ok<AdmissionTicket, Failure>({
            release: () => {
                router.cancelReservation(request.requestId);
                ofAccount.value.release();
            },
        });
    };

    const admitToEngines = (request: RoutingRequest, signal: AbortSignal): Promise<Answer> | Answer => {
        noteLimit(request);
        const assessment = room.assess(request);
        if (!assessment) {
            const retryAt = clock.wallNow() + noTargetRetryMilliseconds;
            return err(notRun(FailureReason.NoTarget, "No engine is open for this model.", retryAt));
        }
        const latestStart = deadlineOf(request) - cautious(assessment.ownPrefill);
        const before = queue.engineTimeBefore(request, latestStart);
        const delay = before / room.drainRate(request.partner) * millisecondsPerSecond;
        if (!isInTime(request, assessment, delay)) {
            return err(refuseAsLate(request, assessment, delay));
        }
        if (before === 0 && letIn(request)) {
            return ok(emptyTicket);
        }
        if (!queue.hasRoom(request)) {
            const retryAt = retryTimes.after(request.partner, delay, assessment.engineTime);
            return err(notRun(FailureReason.Overloaded, "Too much of this partner's work waits already.", retryAt));
        }
        return waitInQueue(request, assessment.engineTime, latestStart, signal);
    };

    const noteLimit = ({ partner, profile }: RoutingRequest) => {
        if (profile.priority === Priority.Interactive) {
            use.recordGapLimit(partner, profile.betweenTokensLimitMilliseconds);
        }
    };

    const isInTime = (request: RoutingRequest, assessment: RoomAssessment, delay: number) =>
        clock.wallNow() + delay + cautious(assessment.firstToken)
            <= deadlineOf(request);

    /** Where not even idle engines could make it, no retry makes sense and none is named. */
    const refuseAsLate = (request: RoutingRequest, assessment: RoomAssessment, delay: number): Failure => {
        const allowed = deadlineOf(request) - clock.wallNow();
        const late = delay + cautious(assessment.firstToken) - Math.max(0, allowed);
        const isHopeless = assessment.ownPrefill > request.profile.firstTokenLimitMilliseconds;
        const retryAt = isHopeless ? undefined : retryTimes.after(request.partner, late, assessment.engineTime);
        return notRun(FailureReason.DeadlineUnreachable, "The first token would come too late.", retryAt);
    };

    /** Lets the request in if an engine has room for it; tells whether. */
    const letIn = (request: RoutingRequest): boolean => {
        const reserved = room.reserve(request);
        if (reserved) {
            use.charge(request.partner, reserved.engineTime);
        }
        return reserved !== undefined;
    };

    const waitInQueue = (
        request: RoutingRequest,
        engineTime: number,
        latestStart: number,
        signal: AbortSignal,
    ): Promise<Answer> =>
        new Promise(resolve => {
            const settle = (answer: Answer) => {
                queue.remove(waiting);
                refusals.delete(waiting);
                use.setWaiting(request.partner, queue.engineTimeOf(request.partner));
                signal.removeEventListener("abort", giveUp);
                resolve(answer);
            };
            const giveUp = () => settle(err(notRun(FailureReason.Cancelled, "The caller has gone.")));
            const waiting: WaitingRequest = {
                request,
                engineTime,
                latestStart,
                waitingSince: clock.monotonicNow(),
                admit: () => settle(ok(emptyTicket)),
            };
            if (signal.aborted) {
                giveUp();
                return;
            }
            signal.addEventListener("abort", giveUp);
            refusals.set(waiting, failure => settle(err(failure)));
            queue.add(waiting);
            use.setWaiting(request.partner, queue.engineTimeOf(request.partner));
        });

    /** Refuses at once what can't make it any more, so that its caller can turn elsewhere. */
    const refuseLate = () => {
        const wallNow = clock.wallNow();
        const oldest = clock.monotonicNow() - longestWaitMilliseconds;
        for (const waiting of queue.all()) {
            if (wallNow > waiting.latestStart || waiting.waitingSince < oldest) {
                const { request, engineTime } = waiting;
                const retryAt = retryTimes.after(request.partner, 0, engineTime);
                const message = "Its turn did not come in time.";
                refusals.get(waiting)?.(notRun(FailureReason.DeadlineUnreachable, message, retryAt));
            }
        }
    };

    /** Lets in the first of the lane if an engine has room, or refuses it if its deadline is lost; tells whether. */
    const settleFirst = (lane: Lane) => {
        const first = lane.waiting[0]!;
        const assessment = room.assess(first.request);
        if (!assessment) {
            return false;
        }
        if (!isInTime(first.request, assessment, 0)) {
            refusals.get(first)?.(refuseAsLate(first.request, assessment, 0));
            return true;
        }
        const isIn = letIn(first.request);
        if (isIn) {
            first.admit();
        }
        return isIn;
    };

    /** Settles one request, of the partner that has used least for its weight if it can; tells whether there was one. */
    const settleNext = () => {
        const byUse = queue.partners()
            .map(partner => ({ partner, use: use.used(partner) / weightOf(partner) }))
            .sort((one, other) => one.use - other.use);
        return byUse.some(({ partner }) => queue.lanesOf(partner).some(settleFirst));
    };

    const pump = () => {
        refuseLate();
        while (queue.size() > 0 && settleNext()) {
            // One at a time: each one changes the room and the order of the partners.
        }
    };

    const run = async (signal: AbortSignal) => {
        while (!signal.aborted) {
            pump();
            await clock.sleepUntil(clock.monotonicNow() + pumpIntervalMilliseconds, signal);
        }
        const failure = notRun(FailureReason.OutOfService, "This process stops.");
        [...refusals.values()].forEach(refuse => refuse(failure));
    };

    return { admitModelRequest, admitPlainCall: limits.admit, run, waitingRequests: queue.size };
}

/** Wall-clock time by which the first token must have come. */
function deadlineOf({ firstTokenDeadline, totalDeadline }: RoutingRequest): number {
    return Math.min(firstTokenDeadline, totalDeadline);
}

function cautious(estimate: number): number {
    return estimate * cautionFactor + cautionMilliseconds;
}
