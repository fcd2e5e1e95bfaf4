import { type Clock, hashTextTo32Bits } from "daisyturn-utils";
import { evidenceLifetimeMilliseconds, type KnownRecord, mergeRecords, requestDepth } from "./crashRecord.js";

/** The records that one process has, by fingerprint and target. */
export interface RecordSet {
    /** Adds a record, or joins it with the one that is known. @returns whether that tells anything new */
    put(fingerprint: string, targetId: string, record: KnownRecord): boolean;
    remove(fingerprint: string, targetId: string): void;
    removeExpired(): void;
    /** Records by fingerprint and target; fingerprints in the order in which they were first recorded. */
    readonly suspects: ReadonlyMap<string, ReadonlyMap<string, KnownRecord>>;
    count(): number;
    /** Returns a number that is the same for the same records; 0 without records. */
    digest(): number;
    /** Returns whether records have changed, since the last call, of suspects that can be blamed or be rivals. */
    takeChanged(): boolean;
}

/** Refusals are recorded at this interval, so that they cost few messages. */
export const refusalIntervalMilliseconds = 10_000;
const digestModulus = 2 ** 32;

export function createRecordSet(clock: Clock): RecordSet {
    const suspects = new Map<string, Map<string, KnownRecord>>();
    let count = 0;
    let hashSum = 0;
    let nextExpiry = Infinity;
    let hasChanged = false;

    const addToHash = (fingerprint: string, targetId: string, record: KnownRecord, sign: 1 | -1) => {
        const hash = hashTextTo32Bits(`${fingerprint} ${targetId} ${describeState(record)}`);
        hashSum = (hashSum + sign * hash + digestModulus) % digestModulus;
    };

    const remove = (fingerprint: string, targetId: string) => {
        const records = suspects.get(fingerprint);
        const known = records?.get(targetId);
        if (records && known) {
            addToHash(fingerprint, targetId, known, -1);
            count -= 1;
            hasChanged = true;
            records.delete(targetId);
            if (records.size === 0) {
                suspects.delete(fingerprint);
            }
        }
    };

    return {
        suspects,
        remove,
        put: (fingerprint, targetId, record) => {
            const records = suspects.get(fingerprint) ?? new Map<string, KnownRecord>();
            const known = records.get(targetId);
            const merged = known ? mergeRecords(known, record) : record;
            records.set(targetId, merged);
            if (known && isSame(known, merged)) {
                return false;
            }
            if (known) {
                addToHash(fingerprint, targetId, known, -1);
            }
            else {
                count += 1;
            }
            addToHash(fingerprint, targetId, merged, 1);
            suspects.set(fingerprint, records);
            nextExpiry = Math.min(nextExpiry, merged.lastSeenAt + evidenceLifetimeMilliseconds);
            // One end alone is neither blamed nor a rival.
            hasChanged ||= records.size > 1;
            return true;
        },
        removeExpired: () => {
            const now = clock.monotonicNow();
            if (nextExpiry > now) {
                return;
            }
            nextExpiry = Infinity;
            for (const [fingerprint, records] of suspects) {
                for (const [targetId, { lastSeenAt }] of records) {
                    const expiresAt = lastSeenAt + evidenceLifetimeMilliseconds;
                    if (expiresAt <= now) {
                        remove(fingerprint, targetId);
                    }
                    else {
                        nextExpiry = Math.min(nextExpiry, expiresAt);
                    }
                }
            }
        },
        count: () => count,
        digest: () => count * digestModulus + hashSum,
        takeChanged: () => {
            const taken = hasChanged;
            hasChanged = false;
            return taken;
        },
    };
}

/** What processes must agree on. Records of requests are described as earlier versions do. */
function describeState({ chain, isRefuted, depth, wasAnswered }: KnownRecord): string {
    return depth === requestDepth && !wasAnswered
        ? `${chain} ${isRefuted}`
        : `${chain} ${isRefuted} ${depth} ${wasAnswered}`;
}

/** Whether a joined record tells nothing new. Of its times, only refusals are worth a message. */
function isSame(known: KnownRecord, merged: KnownRecord): boolean {
    return describeState(known) === describeState(merged)
        && merged.lastSeenAt - known.lastSeenAt < refusalIntervalMilliseconds;
}
