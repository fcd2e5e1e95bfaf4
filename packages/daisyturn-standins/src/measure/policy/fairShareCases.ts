import { createMeasuredProfile } from "../requestMix.js";
import { runTrial, type SourceResult, type TrialOptions, type TrialResult, type TrialSource } from "./policyTrial.js";
import { defaultEngineSettings } from "./steppedEngine.js";

const mix = { blocks: 30, sharedBlocks: 10, prefixes: 5 };
const limits = { firstTokenLimitMilliseconds: 1_600, betweenTokensLimitMilliseconds: 110, maxOutputTokens: 150 };
/** Requests per second of this mix that eight engines with default settings can serve. */
export const cellCapacity = 41;
export const engineCount = 8;

/** Creates the source of the partner whose goodput must not suffer from the other's load. */
export function createCalmSource(requestsPerSecond: number, fields: Partial<TrialSource> = {}): TrialSource {
    const profile = createMeasuredProfile("jizdenka", limits);
    return { profile, requestsPerSecond, mix, outputTokens: 80, ...fields };
}

/** Creates the source of a partner that sends about twice what all engines can serve. */
export function createFlood(fields: Partial<TrialSource> = {}): TrialSource {
    const profile = createMeasuredProfile("nyamata", limits);
    return { profile, requestsPerSecond: 2 * cellCapacity, mix, outputTokens: 80, ...fields };
}

/** Runs sources that share the engines through admission and routing. */
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

/** Returns the fraction of the offered requests that completed within all limits. */
export function computeGoodFraction(result: SourceResult): number {
    return result.good / result.offered;
}
