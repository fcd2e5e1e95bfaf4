import type { KnownRecord } from "./crashRecord.js";

/**
 * Chooses records to drop, so that a flood of requests and parts that were aboard one end each can't push out evidence:
 * first those of refuted suspects, then those of suspects with the fewest ends, older suspects before newer ones. Records
 * of listed suspects are never dropped.
 *
 * @param suspects records by fingerprint and target, older suspects first
 * @returns fingerprints and targets of at least `count` records, if there are as many
 */
export function dropLeastTelling(
    suspects: ReadonlyMap<string, ReadonlyMap<string, KnownRecord>>,
    listed: ReadonlyMap<string, unknown>,
    count: number,
): (readonly [fingerprint: string, targetId: string])[] {
    const countUnrefuted = (records: ReadonlyMap<string, KnownRecord>) =>
        [...records.values()].filter(({ isRefuted }) => !isRefuted).length;
    const weighed = [...suspects].filter(([fingerprint]) => !listed.has(fingerprint))
        .map(([fingerprint, records]) => ({ fingerprint, records, weight: countUnrefuted(records) }))
        .sort((left, right) => left.weight - right.weight);
    const dropped: (readonly [string, string])[] = [];
    for (const { fingerprint, records } of weighed) {
        if (dropped.length >= count) {
            break;
        }
        records.forEach((record, targetId) => dropped.push([fingerprint, targetId]));
    }
    return dropped;
}
