import { EngineStage } from "../../../ports/listedTarget.js";

/** The state of a service's engines that a plan is based on. */
export interface StageView {
    readonly readers: number;
    readonly decoders: number;
    /** Number of engines that the prefill of all prompts would keep busy without idle time. */
    readonly demand: number;
    /** Used fraction of the decode engines' slots, or of their KV cache if that is larger. */
    readonly decodingFill: number;
    /** The recent maximum of `decodingFill`, over a window that spans several bursts. */
    readonly peakFill: number;
}

/**
 * Load of the prefill engines above which another engine is moved to prefill. A change makes an engine unavailable for
 * seconds and discards its cache, so shorter bursts are left to the placement of each prompt. With a threshold of
 * 0.75, fewer answers were on time.
 */
const minLoadForPrefill = 1.2;
/**
 * A decode engine is moved to prefill only while the remaining ones stay below this used fraction of their slots and KV
 * cache. With 0.3, prefill engines stayed overloaded while two thirds of the decode slots were free. With 0.6, the
 * goodput in a long burst of long prompts is higher by 0.05 of the maximum, and twice as many of the longest prompts
 * are served.
 */
const maxFillForPrefill = 0.6;
/** Below this load of the remaining prefill engines, one of them can be spared. */
const maxLoadForDecode = 0.35;
/**
 * While even bursts leave most decode slots free, engines are moved to prefill above this lower load. Prompts arrive in
 * bursts of three times the mean rate, and a prompt that meets a queue waits or is prefilled again on an engine that
 * lacks its cached prefix.
 */
const minLoadForPrefillWhileIdle = 0.3;
const maxIdlePeakFill = 0.55;
/** Engines return to decoding only if the recent peak fill of the decode engines exceeds this value. */
const minPeakFillForDecode = 0.8;
/**
 * Minimum fraction of the engines that decode. A batch generates hundreds of tokens per second, so few engines are
 * needed, but the others must be able to serve if one is lost.
 */
const minDecodeFraction = 0.3;
export const minDecodeEngines = 2;

/** The minimum number of decode engines among the given number of engines. A single engine must decode. */
export function countDecodeEnginesNeeded(engines: number): number {
    return Math.max(1, Math.min(engines - 1, Math.max(minDecodeEngines, Math.ceil(engines * minDecodeFraction))));
}

/**
 * Returns the stage that needs one more engine, if any. A decode engine prefills prompts at half the speed and slows
 * down every answer that it decodes meanwhile, so where the prefill demand allows it, decode engines only decode.
 */
export function planStage({ readers, decoders, demand, decodingFill, peakFill }: StageView): EngineStage | undefined {
    const decodersNeeded = countDecodeEnginesNeeded(readers + decoders);
    if (decoders < decodersNeeded) {
        return readers > 0 ? EngineStage.Decode : undefined;
    }
    if (readers === 0 && decoders > minDecodeEngines) {
        return EngineStage.Prefill;
    }
    const oneFewerFactor = decoders / Math.max(1, decoders - 1);
    const isNeeded = demand > readers * minLoadForPrefill && decodingFill * oneFewerFactor < maxFillForPrefill;
    const isFree = demand > readers * minLoadForPrefillWhileIdle && peakFill * oneFewerFactor < maxIdlePeakFill;
    if ((isNeeded || isFree) && decoders > decodersNeeded) {
        return EngineStage.Prefill;
    }
    const isSpare = readers > 1 && demand < (readers - 1) * maxLoadForDecode;
    return isSpare && peakFill > minPeakFillForDecode ? EngineStage.Decode : undefined;
}
