import type { EngineSettings } from "../engineOptions.js";

/** The settings that the speed follows from. */
export type SpeedSettings = Pick<
    EngineSettings,
    | "stepBaseMilliseconds"
    | "stepPerDecodeStreamMilliseconds"
    | "stepPerPrefillTokenMilliseconds"
    | "prefillTokensPerStep"
>;

/** Length of a step, in simulated milliseconds. docs/design/engine-stand-in.md gives the formula. */
export function stepMilliseconds(settings: SpeedSettings, decodingStreams: number, prefillTokens: number): number {
    return settings.stepBaseMilliseconds
        + settings.stepPerDecodeStreamMilliseconds * decodingStreams
        + settings.stepPerPrefillTokenMilliseconds * prefillTokens;
}

/** Tokens a simulated second when nothing but prefill is done. */
export function prefillRate(settings: SpeedSettings): number {
    return settings.prefillTokensPerStep * 1_000 / stepMilliseconds(settings, 0, settings.prefillTokensPerStep);
}

/** Tokens a simulated second and stream when that many streams decode beside `prefillTokens` a step. */
export function decodeRate(settings: SpeedSettings, decodingStreams: number, prefillTokens = 0): number {
    return 1_000 / stepMilliseconds(settings, decodingStreams, prefillTokens);
}
