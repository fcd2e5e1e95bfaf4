import type { ConfigurationItem } from "../../../version/configurationItems.js";
import type { ActiveVersion } from "../createActiveVersion.js";
import type { ItemPage, PullAnswer, PullMessage } from "./configurationMessages.js";

/**
 * Items are added to a page until it reaches this size. All items of a large fleet in one message would exceed the line
 * limit between peers, and would delay the streams of both processes while the message is encoded and decoded.
 */
const pageBytes = 131_072;

/** Answers a pull request of a peer with the changes or items that are newer than the peer's generation. */
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

/** A page has at least one item, so that the reader always makes progress. */
function findPageEnd(items: readonly ConfigurationItem[], offset: number): number {
    let end = offset;
    let bytes = 0;
    while (end < items.length && bytes < pageBytes) {
        bytes += Buffer.byteLength(JSON.stringify(items[end]));
        end += 1;
    }
    return end;
}
