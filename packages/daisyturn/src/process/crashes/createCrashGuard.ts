import { requestDepth } from "./crashRecord.js";
import { type CrashDetector, type CrashDetectorOptions, createCrashDetector, RunEnd } from "./createCrashDetector.js";
import type { CrashEvidence, ListedSuspect } from "./createCrashEvidence.js";
import { createRecentAnswers } from "./createRecentAnswers.js";
import type { GuardedCall } from "./guardedCall.js";

/** Keeps requests that end their targets, and requests with a part that does, out of them. */
export interface CrashGuard extends Pick<CrashDetector, "beginRun" | "recordBytesReceived" | "recordRemoval"> {
    /** Returns why a request is kept out of targets; undefined if it is not. */
    findListed(call: GuardedCall): ListedSuspect | undefined;
    /**
     * Whether a request should run at one target only, without a separate prefill. A prefill ends no target, so it would
     * bring a request that may end its targets to one of them without telling whether it does.
     */
    mustRunWhole(call: GuardedCall): boolean;
    /** Whether an attempt that has failed at a target may be sent to another one. */
    mayRepeat(call: GuardedCall): boolean;
}

/** An attempt that has failed at this many targets is not repeated; evidence of their ends comes a little later. */
const maxBrokenRuns = 3;

/** What {@link createCrashGuard} needs. */
export interface CrashGuardOptions extends CrashDetectorOptions {
    readonly evidence: CrashEvidence;
    /** Names one start of a target for other processes, where its identifier stays the same over restarts. */
    readonly nameIncarnation?: (targetId: string) => string;
}

/** Creates the guard of one process. */
export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
    const { evidence, clock, nameIncarnation = (targetId: string) => targetId } = options;
    const detector = createCrashDetector(options);
    const recentAnswers = createRecentAnswers(clock);
    evidence.onChanged(records => {
        for (const { fingerprint, age, depth, isRefuted, wasAnswered } of records) {
            if (!isRefuted && recentAnswers.includes(fingerprint, clock.monotonicNow() - age)) {
                evidence.recordAnswer(fingerprint);
            }
            if (depth === requestDepth) {
                continue;
            }
            if (isRefuted || wasAnswered) {
                recentAnswers.addPart(fingerprint);
            }
            else if (recentAnswers.includesPart(fingerprint)) {
                evidence.recordEarlierAnswer(fingerprint);
            }
        }
    });
    detector.onCrash(({ targetId, suspects, ...crash }) =>
        evidence.recordCrash({
            ...crash,
            targetId: nameIncarnation(targetId),
            suspects: suspects.map(suspect => ({
                ...suspect,
                wasAnswered: recentAnswers.includesPart(suspect.fingerprint),
            })),
        })
    );

    const findListed = (call: GuardedCall): ListedSuspect | undefined => {
        if (evidence.isEmpty()) {
            return undefined;
        }
        const { requests, parts } = evidence.hasListed();
        const suspects = [...(parts ? call.partFingerprints() : []), ...(requests ? [call.fingerprint()] : [])];
        return suspects.map(evidence.findListed).find(listed => listed !== undefined);
    };

    const recordAnswer = (call: GuardedCall) => {
        recentAnswers.add(call);
        if (!evidence.isEmpty()) {
            [...call.partFingerprints(), call.fingerprint()].forEach(evidence.recordAnswer);
        }
    };

    return {
        beginRun: (target, call) => {
            const endRun = detector.beginRun(target, call);
            return end => {
                if (end === RunEnd.Answered) {
                    recordAnswer(call);
                }
                endRun(end);
            };
        },
        recordBytesReceived: detector.recordBytesReceived,
        recordRemoval: detector.recordRemoval,
        findListed: call => {
            const listed = findListed(call);
            if (!listed) {
                return undefined;
            }
            evidence.recordRefusal(listed.fingerprint);
            return evidence.findListed(listed.fingerprint) ?? listed;
        },
        mustRunWhole: call =>
            !evidence.isEmpty() && evidence.hasUndecided() && evidence.isUndecided(call.fingerprint()),
        mayRepeat: call => call.brokenRuns < maxBrokenRuns && findListed(call) === undefined,
    };
}
