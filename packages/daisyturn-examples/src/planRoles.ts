import { chooseRoleSplit } from "daisyturn";

/**
 * Computes how many of eight engines should prefill. Half of them prefill now, and the current demand is mostly for
 * decoding.
 */
export function planPrefillEngines(expectedMixMilliseconds: number): number {
    return chooseRoleSplit({
        prefillEngines: 4,
        decodeEngines: 4,
        prefillDemand: 1.5,
        decodeDemand: 5.5,
        meanPrefillDemand: 3.5,
        meanDecodeDemand: 3.5,
        worthPerSecond: 40,
        changeCost: 1,
        expectedMixMilliseconds,
        changeMilliseconds: 8_000,
        detectionMilliseconds: 12_000,
    }).prefillEngines;
}
