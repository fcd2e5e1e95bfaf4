import type { EngineSettings } from "../engineOptions.js";

/** Settings that determine the speed. */
export type SpeedSettings = Pick<
    EngineSettings,
    | "stepBaseMilliseconds"
    | "stepPerDecodeStreamMilliseconds"
    | "stepPerPrefillTokenMilliseconds"
    | "prefillTokensPerStep"
>;

/** Duration of a step in simulated milliseconds. docs/design/engine-stand-in.md gives the formula. */
export function stepMilliseconds(settings: SpeedSettings, decodingStreams: number, prefillTokens: number): number {
    return settings.stepBaseMilliseconds
        + settings.stepPerDecodeStreamMilliseconds * decodingStreams
        + settings.stepPerPrefillTokenMilliseconds * prefillTokens;
}

/** Tokens per simulated second when the engine only prefills. */
export function prefillRate(settings: SpeedSettings): number {
    return settings.prefillTokensPerStep * 1_000 / stepMilliseconds(settings, 0, settings.prefillTokensPerStep);
}

/** Tokens per simulated second of each of `decodingStreams` streams, if each step also prefills `prefillTokens`. */
export function decodeRate(settings: SpeedSettings, decodingStreams: number, prefillTokens = 0): number {
    return 1_000 / stepMilliseconds(settings, decodingStreams, prefillTokens);
}
