import type { Profile } from "../../version/configurationItems.js";

/** How long the answers of each profile turn out to be. */
export interface OutputLengths {
    /** Expected output tokens, never more than `limit`. */
    expect(profile: Profile, limit: number): number;
    record(profile: Profile, outputTokens: number): void;
}

/** How much one answer moves the average. */
const gain = 0.05;
/** Answers before the average is believed. */
const trustedAnswers = 10;

interface Average {
    mean: number;
    answers: number;
}

/** Creates the averages, all empty. */
export function createOutputLengths(): OutputLengths {
    const averages = new Map<string, Average>();
    const keyOf = (profile: Profile) => `${profile.partner}/${profile.name}`;
    return {
        expect: (profile, limit) => {
            const average = averages.get(keyOf(profile));
            return average && average.answers >= trustedAnswers ? Math.min(limit, average.mean) : limit;
        },
        record: (profile, outputTokens) => {
            const average = averages.get(keyOf(profile)) ?? { mean: outputTokens, answers: 0 };
            average.mean += gain * (outputTokens - average.mean);
            average.answers += 1;
            averages.set(keyOf(profile), average);
        },
    };
}
