import { formatItemIdentity, type ItemIdentity } from "./configurationItems.js";
import type { ConfigurationVersion } from "./configurationVersion.js";

/** A request's hold on the version under which it arrived. */
export interface VersionPin {
    readonly version: ConfigurationVersion;
    /** Notes an item that the request runs under. Until the first note it counts as running under any item. */
    use(identity: ItemIdentity): void;
    /** To be called once when the request has ended; later calls do nothing. */
    release(): void;
}

/** Requests of this process that run under one generation. */
export interface GenerationUsage {
    readonly generation: number;
    readonly requests: number;
}

/** Counts the running requests of this process by the generation and the items that they run under. */
export interface VersionUsage {
    /**
     * Pins the version in force for a request. Taking the version and counting the request is one step, so that nobody
     * is told in between that nothing runs under an old version any more.
     */
    pin(): VersionPin;
    /** Running requests that arrived before `generation` was in force here and run under the item, or may yet. */
    countBefore(generation: number, identity: ItemIdentity): number;
    /** By generation, oldest first. */
    list(): readonly GenerationUsage[];
}

interface PinRecord {
    readonly generation: number;
    readonly items: Set<string>;
}

/** Creates the count of one process. */
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
