import { type KnownRecord, mergeRecords, requestDepth } from "./crashRecord.js";

/** A request, or a part of prompts, under which targets ended: its records by the target's identifier. */
export interface Suspect {
    readonly fingerprint: string;
    readonly depth: number;
    readonly wasAnswered: boolean;
    /** Records that no answer has refuted. */
    readonly ends: ReadonlyMap<string, KnownRecord>;
    readonly refuted: ReadonlyMap<string, KnownRecord>;
}

/** A suspect is to blame once this many targets have ended under it, one after the other. */
export const endsForListing = 3;
/** The same if other suspects explain some of the ends as well: the next end tells them apart. */
const endsForTied = 4;
/** The same if the suspect was answered before, or a more specific one explains two of the ends or more. */
const endsForUnlikely = 5;
/** The same if more specific parts, with two ends or more each, explain all the ends. */
const endsForExplained = 7;
/** One end may be a coincidence. */
const minExplainedEnds = 2;
/**
 * Targets that end within this time of each other count once: a rack or a zone that fails ends many targets at once,
 * and popular requests run at most of them.
 */
const simultaneousMilliseconds = 100;

/** What {@link selectCulprits} returns. */
export interface Selection {
    /** Identifiers of the targets by the fingerprint of the suspect that ended them. */
    readonly culprits: ReadonlyMap<string, readonly string[]>;
    /** Fingerprints of requests that are to blame unless the next end shows another one. */
    readonly undecided: ReadonlySet<string>;
}

/**
 * Selects the suspects that explain why targets ended, and the ends that each of them explains. The one with the most
 * ends comes first and, of several with the same number, the most specific one. Each end is explained once, so that
 * what all requests share is not blamed for what one part of them does.
 */
export function selectCulprits(suspects: readonly Suspect[]): Selection {
    const culprits = new Map<string, readonly string[]>();
    const undecided = new Set<string>();
    const explained = new Set<string>();
    const byTarget = groupByTarget(suspects);
    const times = findEndTimes(suspects);
    const candidates = suspects.filter(({ ends }) => ends.size >= endsForListing).sort(compareSuspects);
    for (const suspect of candidates) {
        const own = [...suspect.ends.keys()].filter(targetId => !explained.has(targetId));
        const count = countEnds(own.flatMap(targetId => {
            const [record, time] = [suspect.ends.get(targetId), times.get(targetId)];
            return record && time ? [{ ...time, chain: record.chain }] : [];
        }));
        if (count < endsForListing) {
            continue;
        }
        if (count >= countNeeded(suspect, own, byTarget)) {
            own.forEach(targetId => explained.add(targetId));
            culprits.set(suspect.fingerprint, own);
        }
        else if (suspect.depth === requestDepth) {
            undecided.add(suspect.fingerprint);
        }
    }
    return { culprits, undecided };
}

function compareSuspects(left: Suspect, right: Suspect): number {
    return right.ends.size - left.ends.size || right.depth - left.depth
        || (left.fingerprint < right.fingerprint ? -1 : 1);
}

/** A target ends once, so all records of its end say when that was. */
function findEndTimes(suspects: readonly Suspect[]): ReadonlyMap<string, KnownRecord> {
    const times = new Map<string, KnownRecord>();
    for (const [targetId, record] of suspects.flatMap(({ ends, refuted }) => [...ends, ...refuted])) {
        const known = times.get(targetId);
        times.set(targetId, known ? mergeRecords(known, record) : record);
    }
    return times;
}

function groupByTarget(suspects: readonly Suspect[]): ReadonlyMap<string, readonly Suspect[]> {
    const byTarget = new Map<string, Suspect[]>();
    for (const suspect of suspects) {
        for (const targetId of suspect.ends.keys()) {
            const group = byTarget.get(targetId) ?? [];
            group.push(suspect);
            byTarget.set(targetId, group);
        }
    }
    return byTarget;
}

/** Returns how many of its own ends a suspect must have to be blamed for them. */
function countNeeded(
    suspect: Suspect,
    own: readonly string[],
    byTarget: ReadonlyMap<string, readonly Suspect[]>,
): number {
    const shared = new Map<Suspect, number>();
    for (const other of own.flatMap(targetId => byTarget.get(targetId) ?? [])) {
        if (other !== suspect) {
            shared.set(other, (shared.get(other) ?? 0) + 1);
        }
    }
    const rivals = [...shared].filter(([{ depth }, count]) => depth > suspect.depth && count >= minExplainedEnds)
        .filter(([, count]) => count < own.length).map(([rival]) => rival);
    if (rivals.length > 0) {
        const parts = rivals.filter(({ depth }) => depth < requestDepth);
        const isExplained = own.every(targetId => parts.some(({ ends }) => ends.has(targetId)));
        return isExplained ? endsForExplained : endsForUnlikely;
    }
    if (suspect.wasAnswered) {
        return endsForUnlikely;
    }
    return isTied(suspect, own, shared) ? endsForTied : endsForListing;
}

/**
 * Whether other suspects explain the ends as well: one of the same depth was aboard two of them or more, or some that
 * ended targets elsewhere leave too few. Most are victims of the suspect, which were sent to the next target like itself.
 */
function isTied(suspect: Suspect, own: readonly string[], shared: ReadonlyMap<Suspect, number>): boolean {
    const others = [...shared].filter(([{ wasAnswered }]) => !wasAnswered);
    if (others.some(([{ depth }, count]) => depth === suspect.depth && count >= minExplainedEnds)) {
        return true;
    }
    const rivals = others.filter(([{ ends }, count]) => count < own.length && ends.size > count);
    const unshared = own.filter(targetId => !rivals.some(([{ ends }]) => ends.has(targetId)));
    return unshared.length < endsForListing;
}

/** Counts the ends, of which those that may be simultaneous count once, except for as many as one attempt ran into. */
function countEnds(records: readonly KnownRecord[]): number {
    const groups: KnownRecord[][] = [];
    let groupEnd = -Infinity;
    for (const record of [...records].sort((left, right) => left.endedAt - right.endedAt)) {
        if (record.endedAt - record.uncertainty - groupEnd >= simultaneousMilliseconds) {
            groupEnd = record.endedAt;
            groups.push([]);
        }
        groups.at(-1)?.push(record);
    }
    const countGroup = (group: readonly KnownRecord[]) => {
        const chains = group.map(({ chain }) => chain);
        return Math.max(...chains) - Math.min(...chains) + 1;
    };
    return groups.reduce((sum, group) => sum + countGroup(group), 0);
}
