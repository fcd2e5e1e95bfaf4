import type { ItemIdentity } from "../../version/configurationItems.js";
import type { PeerUsage } from "./exchange/createConfigurationPeers.js";
import type { RetirementReport } from "./fleetConfigurationManager.js";

/** Determines from the answers of the processes whether an item is completely retired. */
export function createRetirementReport(
    identity: ItemIdentity,
    generation: number,
    answers: readonly PeerUsage[],
): RetirementReport {
    const notConfirmedBy: string[] = [];
    const runningAt: { processId: string; requests: number; }[] = [];
    for (const { processId, answer } of answers) {
        // A process at an older generation still accepts new requests under the item.
        if (!answer || answer.generation < generation) {
            notConfirmedBy.push(processId);
        }
        if (answer && answer.requests > 0) {
            runningAt.push({ processId, requests: answer.requests });
        }
    }
    const isComplete = notConfirmedBy.length === 0 && runningAt.length === 0;
    return { identity, generation, isComplete, runningAt, notConfirmedBy };
}
