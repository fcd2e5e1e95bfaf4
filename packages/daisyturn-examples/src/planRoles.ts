import { chooseRoleSplit } from "daisyturn";

/** Eight engines, half and half, and a mix that needs far more decoding: how many should prefill? */
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
