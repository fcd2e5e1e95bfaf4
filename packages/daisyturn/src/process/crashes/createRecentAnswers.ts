import type { Clock } from "daisyturn-utils";
import { evidenceLifetimeMilliseconds } from "./crashRecord.js";
import type { GuardedCall } from "./guardedCall.js";

/**
 * What was answered a moment ago, which speaks against evidence that comes later. The end of a target is known only some
 * time after it, and an answer in between refutes it. Parts are remembered for longer, since a part that has been
 * answered is rarely to blame.
 */
export interface RecentAnswers {
    add(call: GuardedCall): void;
    /** Adds a part that was answered at another process. */
    addPart(fingerprint: string): void;
    /** Whether a request, or a request with a part, was answered later than a monotonic time. */
    includes(fingerprint: string, after: number): boolean;
    /** Whether requests with a part have been answered. */
    includesPart(fingerprint: string): boolean;
}

/** Longer than it takes to find out that a target has ended whose connections broke. */
const memoryMilliseconds = 2_000;
/** Bounds the memory, since the calls hold their bodies until their fingerprints are needed. */
const maxAnswers = 256;
/** Parts are remembered in the order of their last answers, so that those of few requests stay longest out of a flood. */
const maxParts = 8_192;
/** A part is moved to the end of that order only after this time, since popular ones are answered all the time. */
const refreshMilliseconds = 1_000;

interface RecentAnswer {
    readonly call: GuardedCall;
    /** Monotonic time. */
    readonly at: number;
}

export function createRecentAnswers(clock: Clock): RecentAnswers {
    /** Oldest first. */
    const answers: RecentAnswer[] = [];
    /** Monotonic times of the last answers by fingerprint, oldest first except for what `refreshMilliseconds` allows. */
    const parts = new Map<string, number>();

    const removeOld = () => {
        const oldest = clock.monotonicNow() - memoryMilliseconds;
        while (answers.length > maxAnswers || (answers[0]?.at ?? Infinity) < oldest) {
            answers.shift();
        }
    };

    const addPart = (fingerprint: string) => {
        const now = clock.monotonicNow();
        if (now - (parts.get(fingerprint) ?? -Infinity) < refreshMilliseconds) {
            return;
        }
        parts.delete(fingerprint);
        parts.set(fingerprint, now);
        if (parts.size > maxParts) {
            const [oldest = ""] = parts.keys();
            parts.delete(oldest);
        }
    };

    return {
        add: call => {
            answers.push({ call, at: clock.monotonicNow() });
            removeOld();
            call.partFingerprints().forEach(addPart);
        },
        addPart,
        includes: (fingerprint, after) => {
            removeOld();
            return answers.some(({ call, at }) =>
                at > after && (call.fingerprint() === fingerprint || call.partFingerprints().includes(fingerprint))
            );
        },
        includesPart: fingerprint =>
            clock.monotonicNow() - (parts.get(fingerprint) ?? -Infinity) < evidenceLifetimeMilliseconds,
    };
}
