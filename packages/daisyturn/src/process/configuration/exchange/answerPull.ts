import type { ConfigurationItem } from "../../../version/configurationItems.js";
import type { ActiveVersion } from "../createActiveVersion.js";
import type { ItemPage, PullAnswer, PullMessage } from "./configurationMessages.js";

/**
 * A page of items is filled up to this size. All items of a large fleet in one message would exceed the longest line
 * between peers, and would hold up the streams of both processes while it is written and read.
 */
const pageBytes = 131_072;

/** Answers a peer that asks for what this process has beyond the peer's generation. */
export function answerPull(activeVersion: ActiveVersion, cellSize: number, message: PullMessage): PullAnswer {
    const { generation } = activeVersion.current();
    if (message.page) {
        const page = createPage(activeVersion, message.page.generation, message.page.offset);
        return { generation, cellSize, ...(page && { page }) };
    }
    if (generation <= message.generation) {
        return { generation, cellSize };
    }
    const changes = activeVersion.changesAfter(message.generation);
    if (changes) {
        return { generation, cellSize, changes };
    }
    const page = createPage(activeVersion, generation, 0);
    return { generation, cellSize, ...(page && { page }) };
}

function createPage(activeVersion: ActiveVersion, generation: number, offset: number): ItemPage | undefined {
    const items = activeVersion.recentVersion(generation)?.items;
    if (!items) {
        return undefined;
    }
    const end = findPageEnd(items, offset);
    return {
        generation,
        items: items.slice(offset, end),
        ...(end < items.length && { nextOffset: end }),
    };
}

/** At least one item, so that the reader gets on. */
function findPageEnd(items: readonly ConfigurationItem[], offset: number): number {
    let end = offset;
    let bytes = 0;
    while (end < items.length && bytes < pageBytes) {
        bytes += Buffer.byteLength(JSON.stringify(items[end]));
        end += 1;
    }
    return end;
}
