import { EngineStage } from "../../../ports/listedTarget.js";

/** What a plan goes by. */
export interface StageView {
    readonly readers: number;
    readonly decoders: number;
    /** Engines that would read all prompts without a pause. */
    readonly demand: number;
    /** Part of the decoding engines' places, or of their memory if that is more, that is taken. */
    readonly decodingFill: number;
    /** The most of it in the last while, over some bursts. */
    readonly peakFill: number;
}

/**
 * Load of the reading engines from which on another one is taken. A change takes an engine away for seconds and costs
 * what it keeps, so bursts that are shorter are left to the choice of the way, prompt by prompt: in measured rounds,
 * changes at a load of 0.75 lowered what was answered on time.
 */
const plannedLoad = 1.2;
/**
 * What decodes is not taken beyond this part of its places and memory: at 0.3 the engines that read stayed overloaded
 * while two thirds of the places of the others were free. At 0.6, 0.05 more of the credit was earned in a long burst of
 * long prompts, and of the longest of them twice as many were served.
 */
const plannedFill = 0.6;
/** Below this load, one reading engine fewer would do. */
const spareLoad = 0.35;
/**
 * While even the bursts leave most places of the decoding engines free, more engines read from this load on: prompts
 * come in bursts of three times the mean, and whoever meets a queue waits or reads again what another engine keeps.
 */
const plannedLoadWhileIdle = 0.3;
const idlePeakFill = 0.55;
/** Engines go back to decoding only if those that decode have ever been this full of late. */
const needyPeakFill = 0.8;
/**
 * Part of the engines that decodes in any case. A batch makes hundreds of tokens a second, so few are needed, but the
 * loss of one must be borne.
 */
const leastDecodingFraction = 0.3;
export const minDecodeEngines = 2;

/** The minimum number of decoding engines among the given number of engines. */
export function countDecodeEnginesNeeded(engines: number): number {
    return Math.min(engines - 1, Math.max(minDecodeEngines, Math.ceil(engines * leastDecodingFraction)));
}

/**
 * The stage of which one more engine is needed, if any. Decoding engines read prompts at half the speed and, while they
 * do, stretch every answer they decode; so where the demand for reading allows it, they only decode.
 */
export function planStage({ readers, decoders, demand, decodingFill, peakFill }: StageView): EngineStage | undefined {
    const decodersNeeded = countDecodeEnginesNeeded(readers + decoders);
    if (decoders < decodersNeeded) {
        return readers > 0 ? EngineStage.Decode : undefined;
    }
    if (readers === 0 && decoders > minDecodeEngines) {
        return EngineStage.Prefill;
    }
    const withOneLess = decoders / Math.max(1, decoders - 1);
    const isNeeded = demand > readers * plannedLoad && decodingFill * withOneLess < plannedFill;
    const isFree = demand > readers * plannedLoadWhileIdle && peakFill * withOneLess < idlePeakFill;
    if ((isNeeded || isFree) && decoders > decodersNeeded) {
        return EngineStage.Prefill;
    }
    const isSpare = readers > 1 && demand < (readers - 1) * spareLoad;
    return isSpare && peakFill > needyPeakFill ? EngineStage.Decode : undefined;
}
