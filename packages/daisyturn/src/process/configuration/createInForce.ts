import { EventKind, type EventLog } from "daisyturn-utils";
import type { AcceptedChange } from "../../version/configurationChange.js";
import type { ConfigurationVersion } from "../../version/configurationVersion.js";
import { createConfigurationVersion, type IndexedVersion } from "../../version/createConfigurationVersion.js";

/** Changes kept in memory for peers that lag; whoever lags more is sent all items. */
const keptChanges = 256;
/** The kept changes go to a peer in one message, which must stay well below the longest line between peers. */
const keptChangeBytes = 1_048_576;
/** Versions kept for peers that read one page by page. They share their memory. */
const keptVersions = 16;

type VersionListener = (version: ConfigurationVersion) => void;

/** The version in force in this process, and the changes that led to it. */
export interface InForce {
    current(): IndexedVersion;
    /**
     * Puts a version in force unless that would go back.
     * @param chain the changes that led to it, where known, for peers that lag
     */
    advance(version: IndexedVersion, chain?: readonly AcceptedChange[]): boolean;
    /** Puts the change in force if it follows directly on the version in force. */
    offer(change: AcceptedChange): boolean;
    /** The changes from the one after `generation` up to the version in force; undefined if not all are kept. */
    changesAfter(generation: number): readonly AcceptedChange[] | undefined;
    /** A version that was in force lately. */
    recentVersion(generation: number): IndexedVersion | undefined;
    onVersion(listener: VersionListener): void;
}

interface KeptChange {
    readonly change: AcceptedChange;
    readonly bytes: number;
}

/** Creates the holder at generation 0, without items. */
export function createInForce(eventLog: EventLog): InForce {
    const listeners: VersionListener[] = [];
    let versions = [createConfigurationVersion(0, [])];
    let kept: readonly KeptChange[] = [];

    const current = () => versions.at(-1) as IndexedVersion;

    const advance = (next: IndexedVersion, chain: readonly AcceptedChange[] = []) => {
        const before = current().generation;
        if (next.generation <= before) {
            return false;
        }
        kept = keepChanges(kept, chain.filter(change => change.generation > before));
        versions = [...versions, next].slice(-keptVersions);
        eventLog.record(EventKind.ConfigurationInForce, { generation: next.generation });
        listeners.forEach(listener => tell(listener, next));
        return true;
    };

    /** A listener's fault must not keep the others from the version. */
    const tell = (listener: VersionListener, version: ConfigurationVersion) => {
        try {
            listener(version);
        }
        catch (error) {
            eventLog.record(EventKind.Fault, { generation: version.generation, reason: String(error) });
        }
    };

    const offer = (change: AcceptedChange) => {
        const version = current();
        return change.generation === version.generation + 1 && advance(version.apply(change), [change]);
    };

    const changesAfter = (generation: number) => {
        const chain = kept.map(one => one.change).filter(change => change.generation > generation);
        const isWhole = chain.length === current().generation - generation
            && chain.every((change, index) => change.generation === generation + 1 + index);
        return isWhole ? chain : undefined;
    };

    return {
        current,
        advance,
        offer,
        changesAfter,
        recentVersion: generation => versions.find(version => version.generation === generation),
        onVersion: listener => {
            listeners.push(listener);
        },
    };
}

/** Keeps the newest changes that stay within both limits. */
function keepChanges(kept: readonly KeptChange[], added: readonly AcceptedChange[]): readonly KeptChange[] {
    const measured = added.map(change => ({ change, bytes: Buffer.byteLength(JSON.stringify(change)) }));
    const newest = [...kept, ...measured].slice(-keptChanges);
    let total = newest.reduce((sum, one) => sum + one.bytes, 0);
    const firstFitting = newest.findIndex(one => {
        const fits = total <= keptChangeBytes;
        total -= one.bytes;
        return fits;
    });
    return firstFitting === -1 ? [] : newest.slice(firstFitting);
}
