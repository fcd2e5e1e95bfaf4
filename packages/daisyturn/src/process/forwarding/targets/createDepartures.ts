/** What showed that an incarnation of a target has left. */
export enum Departure {
    /** Its row was removed. The target may have been cut off from the store, so a row that it writes later opens it. */
    Removal = "removal",
    /** Its row said that it leaves. */
    Row = "row",
    /** Its own answer said so. */
    Answer = "answer",
    /** Another incarnation of the same name has followed. */
    Restart = "restart",
}

/**
 * Which incarnations of targets have left. It outlasts their rows, since a store that is restored from an older copy lists
 * targets again that have left.
 */
export interface Departures {
    /** Records what shows that an incarnation leaves or has left. A removal does not replace a reason that holds for good. */
    record(targetId: string, departure: Departure): void;
    /** Records that the store was restored from an older copy, so that versions of rows are given out again. */
    recordRollback(): void;
    /** Whether anything is recorded for an incarnation. */
    has(targetId: string): boolean;
    /**
     * Determines why the row of an incarnation does not open it; undefined if nothing speaks against that.
     * @param version of the row in the store
     * @param mayBeOlder whether the store was restored, so that the row may have been written before what is recorded
     */
    checkRow(targetId: string, version: number, mayBeOlder: boolean): Departure | undefined;
}

/** Bounds the memory: many times the targets that a fleet replaces within the seconds by which a copy may be older. */
const maxDepartures = 4_096;

/** Creates the record of one process. */
export function createDepartures(): Departures {
    /** By target id, which identifies one incarnation; the one recorded first comes first. */
    const departures = new Map<string, Departure>();
    /** Versions of the rows that a restored store lists for removed targets; later ones were written since then. */
    const restoredVersions = new Map<string, number>();

    const remove = (targetId: string) => {
        departures.delete(targetId);
        restoredVersions.delete(targetId);
    };

    return {
        record: (targetId, departure) => {
            const known = departures.get(targetId) ?? Departure.Removal;
            departures.delete(targetId);
            departures.set(targetId, known === Departure.Removal ? departure : known);
            const [oldest] = departures.keys();
            if (departures.size > maxDepartures && oldest !== undefined) {
                remove(oldest);
            }
        },
        recordRollback: () => restoredVersions.clear(),
        has: targetId => departures.has(targetId),
        checkRow: (targetId, version, mayBeOlder) => {
            const known = departures.get(targetId);
            if (known !== Departure.Removal) {
                return known;
            }
            if (mayBeOlder) {
                restoredVersions.set(targetId, version);
                return known;
            }
            if (version <= (restoredVersions.get(targetId) ?? -Infinity)) {
                return known;
            }
            remove(targetId);
            return undefined;
        },
    };
}
