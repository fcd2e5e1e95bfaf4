import type { Profile } from "../../version/configurationItems.js";

/** Average output length of the answers of each profile. */
export interface OutputLengths {
    /** Expected number of output tokens, at most `limit`; `limit` itself until enough answers were recorded. */
    expect(profile: Profile, limit: number): number;
    record(profile: Profile, outputTokens: number): void;
}

/** Weight of one answer in the moving average. */
const smoothingFactor = 0.05;
/** Number of answers from which on the average is used. */
const minAnswers = 10;

interface Average {
    mean: number;
    answers: number;
}

export function createOutputLengths(): OutputLengths {
    const averages = new Map<string, Average>();
    const keyOf = (profile: Profile) => `${profile.partner}/${profile.name}`;
    return {
        expect: (profile, limit) => {
            const average = averages.get(keyOf(profile));
            return average && average.answers >= minAnswers ? Math.min(limit, average.mean) : limit;
        },
        record: (profile, outputTokens) => {
            const average = averages.get(keyOf(profile)) ?? { mean: outputTokens, answers: 0 };
            average.mean += smoothingFactor * (outputTokens - average.mean);
            average.answers += 1;
            averages.set(keyOf(profile), average);
        },
    };
}
