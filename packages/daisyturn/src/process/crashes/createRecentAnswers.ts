import type { Clock } from "daisyturn-utils";
import type { GuardedCall } from "./guardedCall.js";

/**
 * The calls that were answered a moment ago. The end of a target is known only some time after it, and an answer in
 * between refutes it all the same.
 */
export interface RecentAnswers {
    add(call: GuardedCall): void;
    /** Whether a call with a fingerprint was answered later than a monotonic time. */
    includes(fingerprint: string, after: number): boolean;
}

/** Longer than it takes to find out that a target has ended whose connections broke. */
const memoryMilliseconds = 2_000;
/** Bounds the memory, since the calls hold their bodies until their fingerprints are needed. */
const maxAnswers = 256;

interface RecentAnswer {
    readonly call: GuardedCall;
    /** Monotonic time. */
    readonly at: number;
}

export function createRecentAnswers(clock: Clock): RecentAnswers {
    /** Oldest first. */
    const answers: RecentAnswer[] = [];

    const removeOld = () => {
        const oldest = clock.monotonicNow() - memoryMilliseconds;
        while (answers.length > maxAnswers || (answers[0]?.at ?? Infinity) < oldest) {
            answers.shift();
        }
    };

    return {
        add: call => {
            answers.push({ call, at: clock.monotonicNow() });
            removeOld();
        },
        includes: (fingerprint, after) => {
            removeOld();
            return answers.some(({ call, at }) => at > after && call.fingerprint() === fingerprint);
        },
    };
}
