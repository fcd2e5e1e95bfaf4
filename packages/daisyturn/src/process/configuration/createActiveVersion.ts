import { EventKind, type EventLog } from "daisyturn-utils";
import type { AcceptedChange } from "../../version/configurationChange.js";
import type { ConfigurationVersion } from "../../version/configurationVersion.js";
import { createConfigurationVersion, type IndexedVersion } from "../../version/createConfigurationVersion.js";

/** Changes retained in memory for peers that are behind. A peer that is further behind is sent all items. */
const maxRetainedChanges = 256;
/** The retained changes are sent to a peer in one message, which must stay well below the line limit between peers. */
const maxRetainedChangeBytes = 1_048_576;
/** Versions retained for peers that read one page by page. The versions share the memory of their common items. */
const maxRetainedVersions = 16;

type VersionListener = (version: ConfigurationVersion) => void;

/** The active version of this process, and the changes that led to it. */
export interface ActiveVersion {
    current(): IndexedVersion;
    /**
     * Activates a version unless its generation is at or below the active one. Returns whether it was activated.
     * @param changes the changes that led to it, where known, for peers that are behind
     */
    advance(version: IndexedVersion, changes?: readonly AcceptedChange[]): boolean;
    /** Applies the change if its generation directly follows the active one. Returns whether it was applied. */
    applyIfNext(change: AcceptedChange): boolean;
    /** The changes after `generation` up to the active version. Undefined if not all of them are retained. */
    changesAfter(generation: number): readonly AcceptedChange[] | undefined;
    /** The active version, or an earlier one that is still retained. */
    recentVersion(generation: number): IndexedVersion | undefined;
    onVersion(listener: VersionListener): void;
}

interface RetainedChange {
    readonly change: AcceptedChange;
    readonly bytes: number;
}

/** Creates an active version at generation 0, without items. */
export function createActiveVersion(eventLog: EventLog): ActiveVersion {
    const listeners: VersionListener[] = [];
    let versions = [createConfigurationVersion(0, [])];
    let retained: readonly RetainedChange[] = [];

    const current = () => versions.at(-1) as IndexedVersion;

    const advance = (next: IndexedVersion, changes: readonly AcceptedChange[] = []) => {
        const before = current().generation;
        if (next.generation <= before) {
            return false;
        }
        retained = retainChanges(retained, changes.filter(change => change.generation > before));
        versions = [...versions, next].slice(-maxRetainedVersions);
        eventLog.record(EventKind.ConfigurationInForce, { generation: next.generation });
        listeners.forEach(listener => notify(listener, next));
        return true;
    };

    /** An error thrown by one listener must not keep the others from being notified. */
    const notify = (listener: VersionListener, version: ConfigurationVersion) => {
        try {
            listener(version);
        }
        catch (error) {
            eventLog.record(EventKind.Fault, { generation: version.generation, reason: String(error) });
        }
    };

    const applyIfNext = (change: AcceptedChange) => {
        const version = current();
        return change.generation === version.generation + 1 && advance(version.apply(change), [change]);
    };

    const changesAfter = (generation: number) => {
        const changes = retained.map(one => one.change).filter(change => change.generation > generation);
        const isComplete = changes.length === current().generation - generation
            && changes.every((change, index) => change.generation === generation + 1 + index);
        return isComplete ? changes : undefined;
    };

    return {
        current,
        advance,
        applyIfNext,
        changesAfter,
        recentVersion: generation => versions.find(version => version.generation === generation),
        onVersion: listener => {
            listeners.push(listener);
        },
    };
}

/** Returns the newest changes that fit within the limits on count and bytes. */
function retainChanges(
    retained: readonly RetainedChange[],
    added: readonly AcceptedChange[],
): readonly RetainedChange[] {
    const measured = added.map(change => ({ change, bytes: Buffer.byteLength(JSON.stringify(change)) }));
    const newest = [...retained, ...measured].slice(-maxRetainedChanges);
    let total = newest.reduce((sum, one) => sum + one.bytes, 0);
    const firstRetained = newest.findIndex(one => {
        const fits = total <= maxRetainedChangeBytes;
        total -= one.bytes;
        return fits;
    });
    return firstRetained === -1 ? [] : newest.slice(firstRetained);
}
