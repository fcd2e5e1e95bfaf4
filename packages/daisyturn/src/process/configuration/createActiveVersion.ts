import { EventKind, type EventLog } from "daisyturn-utils";
import type { AcceptedChange } from "../../version/configurationChange.js";
import type { ConfigurationVersion } from "../../version/configurationVersion.js";
import { createConfigurationVersion, type IndexedVersion } from "../../version/createConfigurationVersion.js";

/** Changes kept in memory for peers that lag; whoever lags more is sent all items. */
const maxRetainedChanges = 256;
/** The kept changes go to a peer in one message, which must stay well below the longest line between peers. */
const maxRetainedChangeBytes = 1_048_576;
/** Versions kept for peers that read one page by page. They share their memory. */
const maxRetainedVersions = 16;

type VersionListener = (version: ConfigurationVersion) => void;

/** The version in force in this process, and the changes that led to it. */
export interface ActiveVersion {
    current(): IndexedVersion;
    /**
     * Puts a version in force unless that would go back.
     * @param changes the changes that led to it, where known, for peers that lag
     */
    advance(version: IndexedVersion, changes?: readonly AcceptedChange[]): boolean;
    /** Puts the change in force if it follows directly on the version in force. */
    applyIfNext(change: AcceptedChange): boolean;
    /** The changes from the one after `generation` up to the version in force; undefined if not all are kept. */
    changesAfter(generation: number): readonly AcceptedChange[] | undefined;
    /** A version that was in force lately. */
    recentVersion(generation: number): IndexedVersion | undefined;
    onVersion(listener: VersionListener): void;
}

interface RetainedChange {
    readonly change: AcceptedChange;
    readonly bytes: number;
}

/** Creates the holder at generation 0, without items. */
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

    /** A listener's fault must not keep the others from the version. */
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

/** Keeps the newest changes that stay within both limits. */
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
