import type { Clock } from "daisyturn-utils";
import type { ConfigurationItem } from "../../../version/configurationItems.js";
import { createConfigurationVersion } from "../../../version/createConfigurationVersion.js";
import { PeerMethod, type PeerNetwork } from "../../peers/index.js";
import { applyChain } from "../createConfigurationStore.js";
import type { InForce } from "../createInForce.js";
import {
    decodeMessage,
    encodeMessage,
    type ItemPage,
    type PullAnswer,
    type PullMessage,
} from "./configurationMessages.js";

/** Changes may come in faster than a large configuration is read; after so many rounds the next pull goes on. */
const mostRounds = 3;

/** What a peer said of itself. */
export interface PullReport {
    readonly generation: number;
    readonly cellSize: number;
}

/** What a pull needs. */
export interface PullOptions {
    readonly network: PeerNetwork;
    readonly inForce: InForce;
    readonly clock: Clock;
    /** For each message: a large configuration takes as long as it takes, as long as it gets on. */
    readonly peerCallMilliseconds: number;
}

/** Takes over what a peer has beyond the version in force. Undefined if it did not answer to the end. */
export async function pullVersion(
    { network, inForce, clock, peerCallMilliseconds }: PullOptions,
    processId: string,
): Promise<PullReport | undefined> {
    const ask = async (message: PullMessage): Promise<PullAnswer | undefined> => {
        const parameters = encodeMessage(message);
        const deadline = clock.monotonicNow() + peerCallMilliseconds;
        const answer = await network.request(processId, PeerMethod.PullConfiguration, parameters, deadline);
        return answer.isOk ? decodeMessage<PullAnswer>(answer.value) : undefined;
    };

    /** Reads the pages after the first; undefined if the peer fails or has dropped that generation meanwhile. */
    const readItems = async (first: ItemPage): Promise<ConfigurationItem[] | undefined> => {
        const { generation } = first;
        const items = [...first.items];
        let offset = first.nextOffset;
        while (offset !== undefined) {
            const page = (await ask({ generation, page: { generation, offset } }))?.page;
            if (!page) {
                return undefined;
            }
            items.push(...page.items);
            offset = page.nextOffset;
        }
        return items;
    };

    const takeOver = async (answer: PullAnswer): Promise<boolean> => {
        const base = inForce.current();
        if (answer.changes) {
            // Pushes may have come in while the answer was under way: then part of the chain is in force already.
            const missing = answer.changes.filter(change => change.generation > base.generation);
            const hasNoGap = missing.every((change, index) => change.generation === base.generation + 1 + index);
            return hasNoGap && (missing.length === 0 || inForce.advance(applyChain(base, missing), missing));
        }
        const items = answer.page && await readItems(answer.page);
        if (answer.page && items) {
            inForce.advance(createConfigurationVersion(answer.page.generation, items));
        }
        return items !== undefined;
    };

    for (let round = 0; round < mostRounds; round++) {
        const answer = await ask({ generation: inForce.current().generation });
        if (!answer) {
            return undefined;
        }
        if (answer.generation <= inForce.current().generation) {
            return { generation: answer.generation, cellSize: answer.cellSize };
        }
        if (!await takeOver(answer)) {
            return undefined;
        }
    }
    return undefined;
}
