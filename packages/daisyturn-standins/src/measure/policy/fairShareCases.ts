import { createMeasuredProfile } from "../requestMix.js";
import { runTrial, type SourceResult, type TrialOptions, type TrialResult, type TrialSource } from "./policyTrial.js";
import { defaultEngineSettings } from "./steppedEngine.js";

const mix = { blocks: 30, sharedBlocks: 10, prefixes: 5 };
const limits = { firstTokenLimitMilliseconds: 1_600, betweenTokensLimitMilliseconds: 110, maxOutputTokens: 150 };
/** What eight default engines serve of this mix, in requests a second. */
export const cellCapacity = 41;
export const engineCount = 8;

/** The partner whose goodput is to be left alone. */
export function createCalmSource(requestsPerSecond: number, fields: Partial<TrialSource> = {}): TrialSource {
    const profile = createMeasuredProfile("jizdenka", limits);
    return { profile, requestsPerSecond, mix, outputTokens: 80, ...fields };
}

/** The partner that sends about twice what all engines can serve. */
export function createFlood(fields: Partial<TrialSource> = {}): TrialSource {
    const profile = createMeasuredProfile("nyamata", limits);
    return { profile, requestsPerSecond: 2 * cellCapacity, mix, outputTokens: 80, ...fields };
}

/** Runs some sources through admission and routing. */
export function runShared(
    sources: readonly TrialSource[],
    fields: Pick<TrialOptions, "seed" | "processes"> & Partial<TrialOptions>,
): Promise<TrialResult> {
    return runTrial({
        seconds: 20,
        engines: engineCount,
        engineSettings: defaultEngineSettings,
        usesAdmission: true,
        sources,
        ...fields,
    });
}

/** Good answers as a part of what was offered. */
export function goodPart(result: SourceResult): number {
    return result.good / result.offered;
}
