import { chooseSplit } from "daisyturn";

/**
 * Computes how many of eight engines should prefill. Half of them prefill now, and the current demand is mostly for
 * decoding.
 */
export function planPrefillEngines(holdMilliseconds: number): number {
    return chooseSplit({
        prefillEngines: 4,
        decodeEngines: 4,
        prefillDemand: 1.5,
        decodeDemand: 5.5,
        laterPrefillDemand: 3.5,
        laterDecodeDemand: 3.5,
        worthPerSecond: 40,
        changeCost: 1,
        holdMilliseconds,
        changeMilliseconds: 8_000,
        noticeMilliseconds: 12_000,
    }).prefillEngines;
}
