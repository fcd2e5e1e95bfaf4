import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { DutyAnswer, type DutyAuthority, type EngineOrder, type FleetDuties } from "../../ports/duties/fleetDuties.js";
import { type Lease, type LeaseManager, LeaseState } from "../lease/index.js";
import { createCallPace } from "./createCallPace.js";
import { createStallWatch } from "./createStallWatch.js";
import type { DutyCalls } from "./dutyCalls.js";

/** What {@link createDutyHolder} needs. */
export interface DutyHolderOptions {
    /** Name under which this process makes calls. */
    readonly holder: string;
    readonly duties: FleetDuties;
    /** Manager of the lease that covers all duties; created with `dutyLeaseMarginMilliseconds`. */
    readonly leaseManager: LeaseManager;
    /** Whether this process may acquire the lease. */
    readonly isCoordinator: () => boolean;
    /** Whether this process may keep the lease although another one is the coordinator: it knows the fleet as well. */
    readonly mayKeep: () => boolean;
    /** Whether this process is cut off from the targets. */
    readonly isCutOff: () => boolean;
    readonly leaseMilliseconds: number;
    /** Whether the platform rejects calls with a lower fencing number than it has seen. */
    readonly checksFences: boolean;
    /** Calls that the platform accepts from all processes together. */
    readonly callsPerSecond: number;
    /** Time after a suspension or a lost link before which no call is made. */
    readonly thawMilliseconds: number;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** The part of one process in the duties of the fleet. */
export interface DutyHolder {
    readonly calls: DutyCalls;
    /** Holds the lease whenever this process is due to, until the signal is aborted. Resolves once it is released. */
    run(signal: AbortSignal): Promise<void>;
}

/** How much earlier than the lease expires its holder stops. */
export const dutyLeaseMarginMilliseconds = 500;
export const dutyRenewalMilliseconds = 1_000;
const checkIntervalMilliseconds = 100;
/** Interval of the check in a process that neither holds the lease nor is due to: all but one in a large fleet. */
const idleCheckIntervalMilliseconds = 400;
const callTimeoutMilliseconds = 2_000;
/** A renewal that is overdue by this time shows that the link to the store is lost. */
const renewalSlackMilliseconds = 500;
/** Lengths of the lease for which a process that has given it up leaves it to others. */
const lengthsAfterGivingUp = 2;
/**
 * While a fleet starts, several processes take themselves for its coordinator in turn. The lease follows the processes that
 * know the load of the whole fleet, but not each short change among them.
 */
const settleMilliseconds = 2_500;
const usageSubject = "usage";

/** Creates the part of one process; nothing is read or sent before `run` is called. */
export function createDutyHolder(options: DutyHolderOptions): DutyHolder {
    const { holder, duties, leaseManager, leaseMilliseconds, thawMilliseconds, clock, eventLog } = options;
    const pace = createCallPace(clock, options.callsPerSecond);
    const inProgress = new Set<Promise<unknown>>();
    /** The last call of each subject. */
    const turns = new Map<string, Promise<unknown>>();
    let givenUp: number | undefined;
    let acquirableAt = -Infinity;
    let acquiredAt = -Infinity;

    const current = () => {
        const lease = leaseManager.current();
        return lease?.fencingNumber === givenUp ? undefined : lease;
    };

    const lastRenewalAt = (lease: Lease) => lease.deadline() - (leaseMilliseconds - dutyLeaseMarginMilliseconds);

    const isRenewalOverdue = () => {
        const lease = leaseManager.current();
        const limit = dutyRenewalMilliseconds + renewalSlackMilliseconds;
        return lease !== undefined && clock.monotonicNow() - lastRenewalAt(lease) > limit;
    };

    const stallWatch = createStallWatch({ clock, isCutOff: () => options.isCutOff() || isRenewalOverdue() });

    /** Returns the lease if a call may be made under it at this moment. */
    const findUsable = () => {
        const usableFrom = stallWatch.lastStallAt() + thawMilliseconds;
        const lease = current();
        return lease && lastRenewalAt(lease) >= usableFrom && !pace.isPaused() && lease.isHeld() ? lease : undefined;
    };

    const giveUp = (lease: Lease, reason: string) => {
        givenUp = lease.fencingNumber;
        acquirableAt = clock.monotonicNow() + lengthsAfterGivingUp * leaseMilliseconds;
        eventLog.record(EventKind.DutiesGivenUp, { fencing: givenUp, reason });
    };

    const recordAnswer = async (answer: DutyAnswer, lease: Lease, subject: string) => {
        if (answer === DutyAnswer.Throttled) {
            pace.recordThrottled();
            eventLog.record(EventKind.DutyThrottled, { subject });
        }
        else if (answer === DutyAnswer.Accepted) {
            pace.recordAccepted();
        }
        else if (answer === DutyAnswer.Rejected && await isSuperseded(subject)) {
            giveUp(lease, `the platform rejected the fencing number for ${subject}`);
        }
    };

    /**
     * Whether a rejected call may mean that the platform has seen a higher number. The platform rejects orders also if it
     * has no such engines at the moment, so the lease's row decides. No call is made while that is read.
     */
    const isSuperseded = async (subject: string) => {
        if (subject === usageSubject) {
            return true;
        }
        return options.checksFences && await leaseManager.inspect() !== LeaseState.Interrupted;
    };

    const callInTurn = async (
        subject: string,
        send: (authority: DutyAuthority, deadline: number) => Promise<DutyAnswer>,
    ): Promise<DutyAnswer | undefined> => {
        if (!findUsable()) {
            return undefined;
        }
        await clock.sleepUntil(pace.reserve());
        const lease = findUsable();
        if (!lease) {
            return undefined;
        }
        const { fencingNumber } = lease;
        const isUsable = () => findUsable()?.fencingNumber === fencingNumber;
        const deadline = Math.min(clock.monotonicNow() + callTimeoutMilliseconds, lease.deadline());
        const sent = send({ holder, fencingNumber, isUsable }, deadline);
        inProgress.add(sent);
        const answer = await sent;
        inProgress.delete(sent);
        await recordAnswer(answer, lease, subject);
        return answer;
    };

    const call = (...parameters: Parameters<typeof callInTurn>) => {
        const [subject] = parameters;
        const previous = turns.get(subject) ?? Promise.resolve();
        const turn = previous.then(() => callInTurn(...parameters));
        turns.set(subject, turn);
        return turn;
    };

    leaseManager.onAcquired(() => {
        acquiredAt = clock.monotonicNow();
    });
    // The holder before this one may be due again at once, and holders must not follow each other in the order A, B, A
    // within the length of a lease.
    leaseManager.beforeRelease(async () => {
        await Promise.allSettled(inProgress);
        await clock.sleepUntil(acquiredAt + leaseMilliseconds);
    });

    const run = async (signal: AbortSignal) => {
        let stop: AbortController | undefined;
        let leaseRun = Promise.resolve();
        const start = () => {
            const started = new AbortController();
            const watching = new AbortController();
            stop = started;
            void stallWatch.run(watching.signal);
            leaseRun = leaseManager.run(started.signal).then(() => {
                stop = undefined;
                watching.abort();
            });
        };
        /** Monotonic time since which this process has, or has not, been the coordinator. */
        let changedAt = clock.monotonicNow();
        let wasCoordinator = false;
        while (!signal.aborted) {
            const isCoordinator = options.isCoordinator();
            changedAt = isCoordinator === wasCoordinator ? changedAt : clock.monotonicNow();
            wasCoordinator = isCoordinator;
            const isSettled = clock.monotonicNow() - changedAt >= settleMilliseconds;
            const isDue = leaseManager.current()
                ? current() !== undefined && (isCoordinator || options.mayKeep() || !isSettled)
                : isCoordinator && clock.monotonicNow() >= acquirableAt;
            if (!isDue) {
                stop?.abort();
            }
            else if (!stop) {
                start();
            }
            const interval = stop || isCoordinator ? checkIntervalMilliseconds : idleCheckIntervalMilliseconds;
            await clock.sleepUntil(clock.monotonicNow() + interval, signal);
        }
        stop?.abort();
        await leaseRun;
    };

    return {
        calls: {
            order: order => call(describeSubject(order), (...terms) => duties.orderEngines(order, ...terms)),
            reportUsage: report => call(usageSubject, (...terms) => duties.reportUsage(report, ...terms)),
            current,
        },
        run,
    };
}

function describeSubject({ service, availabilityZone, isReclaimable }: EngineOrder): string {
    return `${service} ${availabilityZone} ${isReclaimable ? "reclaimable" : "regular"}`;
}
