import { formatItemIdentity, type ItemIdentity } from "./configurationItems.js";
import type { ConfigurationVersion } from "./configurationVersion.js";

/** Keeps a request counted under the version that was active when it arrived. */
export interface VersionPin {
    readonly version: ConfigurationVersion;
    /** Records an item that the request uses. Until the first call, the request counts as using every item. */
    use(identity: ItemIdentity): void;
    /** Must be called when the request has ended. Further calls have no effect. */
    release(): void;
}

/** Number of running requests of this process under one generation. */
export interface GenerationUsage {
    readonly generation: number;
    readonly requests: number;
}

/** Counts the running requests of this process by generation and by the items that they use. */
export interface VersionUsage {
    /**
     * Pins the active version for a request. The version is read and the request counted in one step. Otherwise, a
     * count in between could report that no request runs under an old version any more.
     */
    pin(): VersionPin;
    /** Counts running requests pinned before `generation` was active here that use, or may yet use, the item. */
    countBefore(generation: number, identity: ItemIdentity): number;
    /** By generation, oldest first. */
    list(): readonly GenerationUsage[];
}

interface PinRecord {
    readonly generation: number;
    readonly items: Set<string>;
}

/** Creates the counter of one process. */
export function createVersionUsage(current: () => ConfigurationVersion): VersionUsage {
    const pins = new Set<PinRecord>();

    const pin = (): VersionPin => {
        const version = current();
        const record: PinRecord = { generation: version.generation, items: new Set() };
        pins.add(record);
        return {
            version,
            use: identity => {
                record.items.add(formatItemIdentity(identity));
            },
            release: () => {
                pins.delete(record);
            },
        };
    };

    const countBefore = (generation: number, identity: ItemIdentity) => {
        const identityText = formatItemIdentity(identity);
        const usesItem = (record: PinRecord) => record.items.size === 0 || record.items.has(identityText);
        return [...pins].filter(record => record.generation < generation && usesItem(record)).length;
    };

    const list = () => {
        const counts = new Map<number, number>();
        for (const { generation } of pins) {
            counts.set(generation, (counts.get(generation) ?? 0) + 1);
        }
        return [...counts].map(([generation, requests]) => ({ generation, requests }))
            .sort((left, right) => left.generation - right.generation);
    };

    return { pin, countBefore, list };
}
