import { type Clock, createDecayingRate, type DecayingRate, EventKind, type EventLog } from "daisyturn-utils";
import { EngineActivity } from "../../../ports/engineOrders.js";
import { createFailureReports } from "./createFailureReports.js";
import { type ActivityQuery, createSilenceDetector } from "./createSilenceDetector.js";

/** What the outcome of a call shows about its target's health. */
export enum TargetEvidence {
    /** An answer that is not an error of the target. */
    Answered = "answered",
    /** An answer with an error of the target's own. */
    AnsweredError = "answered_error",
    /** No connection could be made. */
    Unreachable = "unreachable",
    /** No connection could be made, and nothing shows that the target is at fault. */
    LinkFailed = "link_failed",
    /** The connection broke, or the answer was malformed. */
    Broken = "broken",
    /** Calls wait and the target does not work on them, as reported by `SilenceDetector`. */
    Silent = "silent",
}

/** Tracks the health of targets by the outcomes of calls; suspected targets receive no work for a while. */
export interface TargetHealth {
    record(targetId: string, evidence: TargetEvidence): void;
    /** Records that bytes of an answer were received. */
    recordBytesReceived(targetId: string): void;
    /** As {@link SilenceDetector.beginWait}; a target is not an engine by default. */
    beginWait(targetId: string, isEngine?: boolean): { end(): void; };
    /** Queries the target's activity if calls have waited long and nothing was received. */
    checkSilence(targetId: string): void;
    /** Whether calls have waited long while nothing was received from the target and it is not known to be working. */
    isSilent(targetId: string): boolean;
    /**
     * Whether calls to the target have failed since its last answer, or the target is silent, at this process or
     * according to a recent report from another process.
     */
    isFailing(targetId: string): boolean;
    /** Targets failing for this process's own calls, without reports from others. */
    listOwnFailing(): readonly string[];
    /** Targets failing at this process or reported by members of its group, without reports from other groups. */
    listGroupFailing(): readonly string[];
    /**
     * Records targets reported as failing by a member of the same group or, if `isGroup`, by another group's
     * coordinator.
     */
    recordFailing(targetIds: readonly string[], isGroup: boolean): void;
    /**
     * Selects the targets of a service that may receive work. If fewer than half are trusted, returns all of them:
     * where that many seem to fail, the cause is more likely elsewhere, and the remaining ones could not handle the
     * load.
     */
    selectTrusted<Target extends { readonly targetId: string; }>(targets: readonly Target[]): readonly Target[];
    /** Withdraws what was concluded from failures over a link that turns out to be lost. */
    recordLinkLost(targetId: string): void;
    forget(targetId: string): void;
}

interface HealthState {
    failures: number;
    /** Monotonic time until which the target receives no work. */
    suspectUntil: number;
    /** Whether a trial call, which shows if the target works again, is in progress; other calls are not sent. */
    isOnTrial: boolean;
    trialUntil: number;
    readonly answers: DecayingRate;
    readonly errors: DecayingRate;
}

/** The first suspicion lasts this long; each further failure doubles it. */
const firstSuspicionMilliseconds = 400;
const maxSuspicionMilliseconds = 3_000;
/** More than one, because a single broken answer can be a coincidence. */
const brokenAnswersForSuspicion = 2;
/** A trial call that has not ended by then no longer blocks other calls. */
const trialMilliseconds = 1_000;
/** Decay time over which the fraction of error answers is computed. */
const errorMemoryMilliseconds = 4_000;
/** With fewer answers in that time, the error fraction is not significant and counts as 0. */
const minAnswers = 6;
/** A target counts as failing if its error fraction exceeds the median of its group by more than this. */
const maxErrorFractionExcess = 0.22;
const errorSuspicionMilliseconds = 2_000;

/** Creates the health view of one process. */
export function createTargetHealth(
    clock: Clock,
    eventLog: EventLog,
    queryActivity: ActivityQuery = () => Promise.resolve(EngineActivity.NoAnswer),
): TargetHealth {
    const silence = createSilenceDetector(clock, eventLog, queryActivity);
    const states = new Map<string, HealthState>();
    const reports = createFailureReports(clock);

    const find = (targetId: string): HealthState => {
        let state = states.get(targetId);
        if (!state) {
            const now = clock.monotonicNow();
            state = {
                failures: 0,
                suspectUntil: -Infinity,
                isOnTrial: false,
                trialUntil: -Infinity,
                answers: createDecayingRate(errorMemoryMilliseconds, now),
                errors: createDecayingRate(errorMemoryMilliseconds, now),
            };
            states.set(targetId, state);
        }
        return state;
    };

    const suspect = (targetId: string, state: HealthState, milliseconds: number, reason: string) => {
        state.suspectUntil = clock.monotonicNow() + milliseconds;
        state.isOnTrial = false;
        eventLog.record(EventKind.TargetSuspected, {
            target: targetId,
            reason,
            failures: state.failures,
            forMilliseconds: milliseconds,
        });
    };

    const recordFailure = (targetId: string, state: HealthState, evidence: TargetEvidence) => {
        state.failures += 1;
        state.errors.add(1, clock.monotonicNow());
        if (evidence === TargetEvidence.Broken && state.failures < brokenAnswersForSuspicion) {
            return;
        }
        if (state.suspectUntil > clock.monotonicNow()) {
            return;
        }
        const milliseconds = Math.min(
            maxSuspicionMilliseconds,
            firstSuspicionMilliseconds * 2 ** Math.min(state.failures - 1, 8),
        );
        suspect(targetId, state, milliseconds, evidence);
    };

    const recordSuccess = (targetId: string, state: HealthState) => {
        if (state.failures > 0 || state.isOnTrial) {
            if (state.suspectUntil > -Infinity) {
                eventLog.record(EventKind.TargetTrusted, { target: targetId, failures: state.failures });
            }
            state.failures = 0;
            state.isOnTrial = false;
            state.suspectUntil = -Infinity;
        }
    };

    const record = (targetId: string, evidence: TargetEvidence) => {
        const state = find(targetId);
        const now = clock.monotonicNow();
        if (evidence === TargetEvidence.Answered) {
            state.answers.add(1, now);
            recordSuccess(targetId, state);
        }
        else if (evidence === TargetEvidence.AnsweredError) {
            state.errors.add(1, now);
        }
        else if (evidence === TargetEvidence.LinkFailed) {
            if (state.suspectUntil <= now) {
                suspect(targetId, state, firstSuspicionMilliseconds, evidence);
            }
        }
        else {
            recordFailure(targetId, state, evidence);
        }
    };

    const computeErrorFraction = (state: HealthState | undefined): number => {
        const now = clock.monotonicNow();
        const errors = state?.errors.perSecond(now) ?? 0;
        const answers = (state?.answers.perSecond(now) ?? 0) + errors;
        return answers * errorMemoryMilliseconds / 1_000 < minAnswers ? 0 : errors / answers;
    };

    /** Suspects targets whose answers fail much more often than the median of their group. */
    const suspectFailing = (targetIds: readonly string[]) => {
        if (targetIds.length < 2) {
            return;
        }
        const fractions = targetIds.map(targetId => computeErrorFraction(states.get(targetId)));
        const sorted = [...fractions].sort((left, right) => left - right);
        const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
        targetIds.forEach((targetId, index) => {
            const state = states.get(targetId);
            const isFailing = (fractions[index] ?? 0) > median + maxErrorFractionExcess;
            if (state && isFailing && !state.isOnTrial && state.suspectUntil <= clock.monotonicNow()) {
                suspect(targetId, state, errorSuspicionMilliseconds, "error rate far above its group's median");
            }
        });
    };

    /** Once a suspicion ends, a single trial call is sent first to show whether the target works. */
    const acceptsWork = (targetId: string): boolean => {
        const state = states.get(targetId);
        if (!state) {
            return true;
        }
        const now = clock.monotonicNow();
        silence.check(targetId);
        if (silence.isSilent(targetId)) {
            if (state.suspectUntil <= now) {
                recordFailure(targetId, state, TargetEvidence.Silent);
            }
            return false;
        }
        if (state.suspectUntil > now) {
            return false;
        }
        return !state.isOnTrial || state.trialUntil <= now;
    };

    const beginTrial = (targetId: string) => {
        const state = states.get(targetId);
        if (state && state.suspectUntil > -Infinity && state.suspectUntil <= clock.monotonicNow()) {
            state.isOnTrial = true;
            state.trialUntil = clock.monotonicNow() + trialMilliseconds;
        }
    };

    const isFailingLocally = (targetId: string) =>
        (states.get(targetId)?.failures ?? 0) > 0 || silence.isSilent(targetId);

    const listOwnFailing = () => [...states.keys()].filter(isFailingLocally);

    return {
        record,
        recordBytesReceived: silence.recordBytesReceived,
        beginWait: (targetId, isEngine = false) => {
            find(targetId);
            beginTrial(targetId);
            return silence.beginWait(targetId, isEngine);
        },
        checkSilence: silence.check,
        isSilent: silence.isSilent,
        isFailing: targetId => isFailingLocally(targetId) || reports.isReported(targetId),
        listOwnFailing,
        listGroupFailing: () => [...new Set([...listOwnFailing(), ...reports.listByMembers()])],
        recordFailing: reports.record,
        selectTrusted: targets => {
            suspectFailing(targets.map(target => target.targetId));
            const trusted = targets.filter(target => acceptsWork(target.targetId));
            return trusted.length * 2 >= targets.length ? trusted : targets;
        },
        recordLinkLost: targetId => states.delete(targetId),
        forget: targetId => {
            states.delete(targetId);
            silence.forget(targetId);
        },
    };
}
