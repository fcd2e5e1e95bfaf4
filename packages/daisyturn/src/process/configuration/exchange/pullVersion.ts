import type { Clock } from "daisyturn-utils";
import type { ConfigurationItem } from "../../../version/configurationItems.js";
import { createConfigurationVersion } from "../../../version/createConfigurationVersion.js";
import { PeerMethod, type PeerNetwork } from "../../peers/index.js";
import type { ActiveVersion } from "../createActiveVersion.js";
import { applyChanges } from "../createConfigurationStore.js";
import {
    decodeMessage,
    encodeMessage,
    type ItemPage,
    type PullAnswer,
    type PullMessage,
} from "./configurationMessages.js";

/** Changes may arrive faster than a large configuration is read. After this many rounds the next pull continues. */
const maxRounds = 3;

/** The generation and cell size that a peer reported. */
export interface PullReport {
    readonly generation: number;
    readonly cellSize: number;
}

export interface PullOptions {
    readonly network: PeerNetwork;
    readonly activeVersion: ActiveVersion;
    readonly clock: Clock;
    /** Limit for each message. A whole pull has no time limit, so that a large configuration can be read completely. */
    readonly peerCallMilliseconds: number;
}

/** Adopts what a peer has beyond the active version. Undefined if the exchange could not be completed. */
export async function pullVersion(
    { network, activeVersion, clock, peerCallMilliseconds }: PullOptions,
    processId: string,
): Promise<PullReport | undefined> {
    const request = async (message: PullMessage): Promise<PullAnswer | undefined> => {
        const parameters = encodeMessage(message);
        const deadline = clock.monotonicNow() + peerCallMilliseconds;
        const answer = await network.request(processId, PeerMethod.PullConfiguration, parameters, deadline);
        return answer.isOk ? decodeMessage<PullAnswer>(answer.value) : undefined;
    };

    /** Requests the pages after the first. Undefined if the peer fails or no longer retains that generation. */
    const requestItems = async (first: ItemPage): Promise<ConfigurationItem[] | undefined> => {
        const { generation } = first;
        const items = [...first.items];
        let offset = first.nextOffset;
        while (offset !== undefined) {
            const page = (await request({ generation, page: { generation, offset } }))?.page;
            if (!page) {
                return undefined;
            }
            items.push(...page.items);
            offset = page.nextOffset;
        }
        return items;
    };

    const applyAnswer = async (answer: PullAnswer): Promise<boolean> => {
        const base = activeVersion.current();
        if (answer.changes) {
            // Pushes may have arrived while the answer was in flight. Some of the changes are then already active.
            const missing = answer.changes.filter(change => change.generation > base.generation);
            const hasNoGap = missing.every((change, index) => change.generation === base.generation + 1 + index);
            return hasNoGap && (missing.length === 0 || activeVersion.advance(applyChanges(base, missing), missing));
        }
        const items = answer.page && await requestItems(answer.page);
        if (answer.page && items) {
            activeVersion.advance(createConfigurationVersion(answer.page.generation, items));
        }
        return items !== undefined;
    };

    for (let round = 0; round < maxRounds; round++) {
        const answer = await request({ generation: activeVersion.current().generation });
        if (!answer) {
            return undefined;
        }
        if (answer.generation <= activeVersion.current().generation) {
            return { generation: answer.generation, cellSize: answer.cellSize };
        }
        if (!await applyAnswer(answer)) {
            return undefined;
        }
    }
    return undefined;
}
