import { type CrashDetector, type CrashDetectorOptions, createCrashDetector, RunEnd } from "./createCrashDetector.js";
import type { CrashEvidence, ListedCall } from "./createCrashEvidence.js";
import { createRecentAnswers } from "./createRecentAnswers.js";
import type { GuardedCall } from "./guardedCall.js";

/** Keeps requests that end their targets out of them. */
export interface CrashGuard extends Pick<CrashDetector, "beginRun" | "recordRemoval"> {
    /** Returns why a request is kept out of targets; undefined if it is not. */
    findListed(call: GuardedCall): ListedCall | undefined;
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
    const { evidence, nameIncarnation = (targetId: string) => targetId } = options;
    const detector = createCrashDetector(options);
    const recentAnswers = createRecentAnswers(options.clock);
    evidence.onChanged(records => {
        for (const { fingerprint, age, isRefuted } of records) {
            if (!isRefuted && recentAnswers.includes(fingerprint, options.clock.monotonicNow() - age)) {
                evidence.recordAnswer(fingerprint);
            }
        }
    });
    detector.onCrash(crash => evidence.recordCrash({ ...crash, targetId: nameIncarnation(crash.targetId) }));
    const findListed = (call: GuardedCall) => evidence.isEmpty() ? undefined : evidence.findListed(call.fingerprint());
    return {
        beginRun: (target, call) => {
            const endRun = detector.beginRun(target, call);
            return end => {
                if (end === RunEnd.Answered) {
                    recentAnswers.add(call);
                    if (!evidence.isEmpty()) {
                        evidence.recordAnswer(call.fingerprint());
                    }
                }
                endRun(end);
            };
        },
        recordRemoval: detector.recordRemoval,
        findListed,
        mayRepeat: call => call.brokenRuns < maxBrokenRuns && findListed(call) === undefined,
    };
}
