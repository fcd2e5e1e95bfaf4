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
import { type CapacityAssessment, createEngineCapacity } from "./engineCapacity.js";
import { createEngineTurns } from "./engineTurns.js";
import { createPartnerUsage } from "./partnerUsage.js";
import { createRetryTimes } from "./retryTimes.js";

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

/** An admission whose queue is processed by `run`. */
export interface RunningAdmission extends Admission {
    /** Admits queued requests as engines get free capacity until `signal` is aborted, then refuses the rest. */
    run(signal: AbortSignal): Promise<void>;
    /** Number of queued requests. */
    waitingRequests(): number;
}

const emptyTicket: AdmissionTicket = { release: () => undefined };
const millisecondsPerSecond = 1_000;

type AdmissionResult = Result<AdmissionTicket, Failure>;

/** Interval at which the queue is processed. */
const queueIntervalMilliseconds = 20;
/** Retry delay if no engine is open. */
const noTargetRetryMilliseconds = 1_000;
/** Safety margin for imprecise estimates: first-token times are multiplied by the factor, and the constant is added. */
const estimateMarginFactor = 1.25;
const estimateMarginMilliseconds = 50;
/** Maximum time in the queue, even if the deadline of the request is later. */
const maxWaitMilliseconds = 30_000;

/** Creates the admission of one process. */
export function createAdmission(options: AdmissionOptions): RunningAdmission {
    const { loadView, router, configurationManager, membership, clock } = options;
    const { exchange } = loadView;
    const limits = createAccountLimits({ exchange, membership, configurationManager, clock });
    const weightOf = (partner: string) => configurationManager.current().shareWeight(partner);
    const { processId } = options.network.self;
    const partnerUsage = createPartnerUsage({ exchange, membership, clock, processId });
    const turns = createEngineTurns({ partnerUsage, clock, processId, weightOf });
    const engineCapacity = createEngineCapacity({ loadView, router, configurationManager, partnerUsage, turns });
    const queue = createAdmissionQueue(options.bounds ?? defaultQueueBounds);
    const retryTimes = createRetryTimes(clock, engineCapacity.estimateAdmissionRate);
    const refusals = new Map<WaitingRequest, (failure: Failure) => void>();

    const admitModelRequest = async (account: CallerAccount, request: RoutingRequest, signal: AbortSignal) => {
        const accountTicket = limits.admit(account);
        if (accountTicket.isErr) {
            return accountTicket;
        }
        const result = await admitToEngines(request, signal);
        if (result.isErr) {
            accountTicket.value.release();
            return result;
        }
        return ok<AdmissionTicket, Failure>({
            release: () => {
                router.cancelReservation(request.requestId);
                accountTicket.value.release();
            },
        });
    };

    const admitToEngines = (
        request: RoutingRequest,
        signal: AbortSignal,
    ): Promise<AdmissionResult> | AdmissionResult => {
        recordInteractiveLimit(request);
        const assessment = engineCapacity.assess(request);
        if (!assessment) {
            const retryAt = clock.wallNow() + noTargetRetryMilliseconds;
            return err(notRun(FailureReason.NoTarget, "No engine is open for this model.", retryAt));
        }
        const latestStart = getFirstTokenDeadline(request) - addMargin(assessment.ownPrefill);
        const timeAhead = queue.engineTimeAhead(request, latestStart);
        const delay = timeAhead / engineCapacity.estimateAdmissionRate(request.partner) * millisecondsPerSecond;
        if (!isInTime(request, assessment, delay)) {
            return err(createLateFailure(request, assessment, delay));
        }
        if (timeAhead === 0 && tryAdmit(request)) {
            return ok(emptyTicket);
        }
        if (!queue.hasCapacity(request)) {
            const retryAt = retryTimes.after(request.partner, delay, assessment.engineTime);
            return err(notRun(FailureReason.Overloaded, "Too much of this partner's work waits already.", retryAt));
        }
        return waitInQueue(request, assessment.engineTime, latestStart, signal);
    };

    const recordInteractiveLimit = ({ partner, profile }: RoutingRequest) => {
        if (profile.priority === Priority.Interactive) {
            partnerUsage.recordGapLimit(partner, profile.betweenTokensLimitMilliseconds);
        }
    };

    const isInTime = (request: RoutingRequest, assessment: CapacityAssessment, delay: number) =>
        clock.wallNow() + delay + addMargin(assessment.firstToken)
            <= getFirstTokenDeadline(request);

    /** `retryAt` is absent if even an idle engine could not meet the deadline, because a retry would not help. */
    const createLateFailure = (request: RoutingRequest, assessment: CapacityAssessment, delay: number): Failure => {
        const allowed = getFirstTokenDeadline(request) - clock.wallNow();
        const late = delay + addMargin(assessment.firstToken) - Math.max(0, allowed);
        const isUnreachable = assessment.ownPrefill > request.profile.firstTokenLimitMilliseconds;
        const retryAt = isUnreachable ? undefined : retryTimes.after(request.partner, late, assessment.engineTime);
        return notRun(FailureReason.DeadlineUnreachable, "The first token would come too late.", retryAt);
    };

    /** Admits the request if an engine has capacity for it; returns whether it did. */
    const tryAdmit = (request: RoutingRequest): boolean => {
        const reserved = engineCapacity.reserve(request);
        if (reserved) {
            partnerUsage.charge(request.partner, reserved.engineTime);
        }
        return reserved !== undefined;
    };

    const waitInQueue = (
        request: RoutingRequest,
        engineTime: number,
        latestStart: number,
        signal: AbortSignal,
    ): Promise<AdmissionResult> =>
        new Promise(resolve => {
            const settle = (result: AdmissionResult) => {
                queue.remove(waiting);
                refusals.delete(waiting);
                partnerUsage.setWaiting(request.partner, queue.engineTimeOf(request.partner));
                signal.removeEventListener("abort", cancel);
                resolve(result);
            };
            const cancel = () => settle(err(notRun(FailureReason.Cancelled, "The caller has gone.")));
            const waiting: WaitingRequest = {
                request,
                engineTime,
                latestStart,
                enqueuedAt: clock.monotonicNow(),
                admit: () => settle(ok(emptyTicket)),
            };
            if (signal.aborted) {
                cancel();
                return;
            }
            signal.addEventListener("abort", cancel);
            refusals.set(waiting, failure => settle(err(failure)));
            queue.add(waiting);
            partnerUsage.setWaiting(request.partner, queue.engineTimeOf(request.partner));
        });

    /** Refuses requests that can no longer meet their deadline, so that their callers can retry elsewhere early. */
    const refuseExpired = () => {
        const wallNow = clock.wallNow();
        const oldest = clock.monotonicNow() - maxWaitMilliseconds;
        for (const waiting of queue.all()) {
            if (wallNow > waiting.latestStart || waiting.enqueuedAt < oldest) {
                const { request, engineTime } = waiting;
                const retryAt = retryTimes.after(request.partner, 0, engineTime);
                const message = "Its turn did not come in time.";
                refusals.get(waiting)?.(notRun(FailureReason.DeadlineUnreachable, message, retryAt));
            }
        }
    };

    /**
     * Admits the first request of the lane if an engine has capacity, or refuses it if it would miss its deadline.
     * Returns whether it did either.
     */
    const settleFirst = (lane: Lane) => {
        const first = lane.waiting[0]!;
        const assessment = engineCapacity.assess(first.request);
        if (!assessment) {
            return false;
        }
        if (!isInTime(first.request, assessment, 0)) {
            refusals.get(first)?.(createLateFailure(first.request, assessment, 0));
            return true;
        }
        const isAdmitted = tryAdmit(first.request);
        if (isAdmitted) {
            first.admit();
        }
        return isAdmitted;
    };

    /** Settles one request, trying partners with the lowest usage by weight first. Returns whether it settled one. */
    const settleNext = () => {
        const byUsage = queue.partners()
            .map(partner => ({ partner, usage: partnerUsage.usageRate(partner) / weightOf(partner) }))
            .sort((one, other) => one.usage - other.usage);
        return byUsage.some(({ partner }) => queue.lanesOf(partner).some(settleFirst));
    };

    const processQueue = () => {
        refuseExpired();
        while (queue.size() > 0 && settleNext()) {
            // One request at a time, because each changes the free capacity and the order of the partners.
        }
    };

    const run = async (signal: AbortSignal) => {
        while (!signal.aborted) {
            processQueue();
            await clock.sleepUntil(clock.monotonicNow() + queueIntervalMilliseconds, signal);
        }
        const failure = notRun(FailureReason.OutOfService, "This process stops.");
        [...refusals.values()].forEach(refuse => refuse(failure));
    };

    return { admitModelRequest, admitPlainCall: limits.admit, run, waitingRequests: queue.size };
}

/** Wall-clock time by which the first token is due. */
function getFirstTokenDeadline({ firstTokenDeadline, totalDeadline }: RoutingRequest): number {
    return Math.min(firstTokenDeadline, totalDeadline);
}

function addMargin(estimate: number): number {
    return estimate * estimateMarginFactor + estimateMarginMilliseconds;
}
