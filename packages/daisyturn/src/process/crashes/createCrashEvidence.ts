import { type Clock, EventKind, type EventLog, hashTextTo32Bits } from "daisyturn-utils";

/** One piece of evidence: a target ended while it ran a call. */
export interface CrashRecord {
    /** Identifies a request, the same for all its attempts. */
    readonly fingerprint: string;
    /** Identifies one incarnation of the target. */
    readonly targetId: string;
    /** Milliseconds since the target had ended. */
    readonly age: number;
    /** Milliseconds by which it may have ended earlier. */
    readonly uncertainty: number;
    /**
     * How many targets had failed the same attempt by then, with this one. An attempt runs at one target after the
     * other, so those ends are not simultaneous, however close they are.
     */
    readonly chain: number;
    /** Whether the same request has been answered since, which shows that it does not end its targets. */
    readonly isRefuted: boolean;
}

/** A request that is kept out of targets, because several of them ended while they ran it. */
export interface ListedCall {
    readonly targetIds: readonly string[];
    /** Monotonic time until which it is listed. */
    readonly until: number;
}

/** The end of a target, and the calls that ran there. */
export interface RecordedCrash extends Pick<CrashRecord, "targetId" | "uncertainty"> {
    /** Monotonic time by which the target had ended. */
    readonly endedAt: number;
    readonly calls: readonly Pick<CrashRecord, "fingerprint" | "chain">[];
}

/**
 * Evidence on requests that end the targets that run them, from this process and others. It is a set: records that are
 * lost, repeated or relayed never count twice.
 */
export interface CrashEvidence {
    /** Records that a target ended while calls of this process ran there. */
    recordCrash(crash: RecordedCrash): void;
    /** Records that a request was answered, which refutes all evidence against it so far. */
    recordAnswer(fingerprint: string): void;
    /** Adds records of another process. @param source passed on to the listeners */
    recordRemote(records: readonly CrashRecord[], source?: string): void;
    /** Returns why a request is kept out of targets; undefined if it is not. */
    findListed(fingerprint: string): ListedCall | undefined;
    isEmpty(): boolean;
    list(): readonly CrashRecord[];
    /** Returns a number that is the same at processes with the same records; 0 without records. */
    digest(): number;
    /** Registers a listener that is called with new and changed records and the source of remote ones. */
    onChanged(listener: (records: readonly CrashRecord[], source: string | undefined) => void): void;
}

/** A request is listed once this many targets have ended under it, one after the other. */
const endsForListing = 3;
/**
 * Targets that end within this time of each other count once: a rack or a zone that fails ends many targets at once,
 * and popular requests run at most of them.
 */
const simultaneousMilliseconds = 100;
/** After this time a request may run again, because its caller or the targets may have been repaired. */
export const evidenceLifetimeMilliseconds = 600_000;
/** A crash adds a few dozen records, one for each call at the target. */
const maxRecords = 2_048;
const digestModulus = 2 ** 32;

interface KnownRecord {
    /** Monotonic time. */
    readonly endedAt: number;
    readonly uncertainty: number;
    readonly chain: number;
    readonly isRefuted: boolean;
}

/** Creates the evidence of one process. */
export function createCrashEvidence(clock: Clock, eventLog: EventLog): CrashEvidence {
    /** Records by fingerprint and target; fingerprints in the order in which they were first recorded. */
    const calls = new Map<string, Map<string, KnownRecord>>();
    const listeners: ((records: readonly CrashRecord[], source: string | undefined) => void)[] = [];
    let count = 0;
    let hashSum = 0;
    let nextExpiry = Infinity;

    const addToHash = (fingerprint: string, targetId: string, { chain, isRefuted }: KnownRecord, sign: 1 | -1) => {
        const hash = hashTextTo32Bits(`${fingerprint} ${targetId} ${chain} ${isRefuted}`);
        hashSum = (hashSum + sign * hash + digestModulus) % digestModulus;
    };

    const remove = (fingerprint: string, targetId: string) => {
        const records = calls.get(fingerprint);
        const known = records?.get(targetId);
        if (records && known) {
            addToHash(fingerprint, targetId, known, -1);
            count -= 1;
            records.delete(targetId);
            if (records.size === 0) {
                calls.delete(fingerprint);
            }
        }
    };

    const removeExpired = () => {
        const now = clock.monotonicNow();
        if (nextExpiry > now) {
            return;
        }
        nextExpiry = Infinity;
        for (const [fingerprint, records] of calls) {
            for (const [targetId, { endedAt }] of records) {
                const expiresAt = endedAt + evidenceLifetimeMilliseconds;
                if (expiresAt <= now) {
                    remove(fingerprint, targetId);
                }
                else {
                    nextExpiry = Math.min(nextExpiry, expiresAt);
                }
            }
        }
    };

    const removeOldestCall = () => {
        const [oldest] = calls;
        if (oldest) {
            const [fingerprint, records] = oldest;
            [...records.keys()].forEach(targetId => remove(fingerprint, targetId));
        }
    };

    /** @returns whether the record tells anything new */
    const put = (fingerprint: string, targetId: string, record: KnownRecord): boolean => {
        const records = calls.get(fingerprint) ?? new Map<string, KnownRecord>();
        const known = records.get(targetId);
        const merged = known ? mergeRecords(known, record) : record;
        if (known && merged.chain === known.chain && merged.isRefuted === known.isRefuted) {
            return false;
        }
        if (known) {
            addToHash(fingerprint, targetId, known, -1);
        }
        else {
            count += 1;
        }
        addToHash(fingerprint, targetId, merged, 1);
        records.set(targetId, merged);
        calls.set(fingerprint, records);
        nextExpiry = Math.min(nextExpiry, merged.endedAt + evidenceLifetimeMilliseconds);
        return true;
    };

    const describe = (
        fingerprint: string,
        targetId: string,
        { endedAt, uncertainty, chain, isRefuted }: KnownRecord,
    ): CrashRecord => ({
        fingerprint,
        targetId,
        age: Math.max(0, Math.round(clock.monotonicNow() - endedAt)),
        uncertainty: Math.round(uncertainty),
        chain,
        isRefuted,
    });

    const notify = (records: readonly CrashRecord[], source?: string) => {
        while (count > maxRecords) {
            removeOldestCall();
        }
        if (records.length > 0) {
            listeners.forEach(listener => listener(records, source));
        }
    };

    const findListed = (fingerprint: string): ListedCall | undefined => {
        removeExpired();
        const records = calls.get(fingerprint);
        if (!records || records.size < endsForListing) {
            return undefined;
        }
        const unrefuted = [...records].filter(([, { isRefuted }]) => !isRefuted);
        if (countEnds(unrefuted.map(([, record]) => record)) < endsForListing) {
            return undefined;
        }
        const latestFirst = unrefuted.map(([, { endedAt }]) => endedAt).sort((left, right) => right - left);
        return {
            targetIds: unrefuted.map(([targetId]) => targetId),
            until: (latestFirst[endsForListing - 1] ?? 0) + evidenceLifetimeMilliseconds,
        };
    };

    const logListings = (records: readonly CrashRecord[]) => {
        for (const fingerprint of new Set(records.map(record => record.fingerprint))) {
            const listed = findListed(fingerprint);
            if (listed) {
                const targets = listed.targetIds.join();
                eventLog.record(EventKind.CallListed, { fingerprint, targets });
            }
        }
    };

    return {
        recordCrash: ({ targetId, endedAt, uncertainty, calls: aboard }) => {
            removeExpired();
            const records = aboard.flatMap(({ fingerprint, chain }) => {
                const record = { endedAt, uncertainty, chain, isRefuted: false };
                return put(fingerprint, targetId, record) ? [describe(fingerprint, targetId, record)] : [];
            });
            notify(records);
            logListings(records);
        },
        recordAnswer: fingerprint => {
            const refuted = [...calls.get(fingerprint) ?? []]
                .map(([targetId, record]) => [targetId, { ...record, isRefuted: true }] as const)
                .filter(([targetId, record]) => put(fingerprint, targetId, record));
            notify(refuted.map(([targetId, record]) => describe(fingerprint, targetId, record)));
        },
        recordRemote: (received, source) => {
            removeExpired();
            const now = clock.monotonicNow();
            const changed = received.filter(({ fingerprint, targetId, age, uncertainty, chain, isRefuted }) =>
                age < evidenceLifetimeMilliseconds
                && put(fingerprint, targetId, { endedAt: now - age, uncertainty, chain, isRefuted })
            );
            notify(changed, source);
            logListings(changed);
        },
        findListed,
        isEmpty: () => count === 0,
        list: () => {
            removeExpired();
            return [...calls].flatMap(([fingerprint, records]) =>
                [...records].map(([targetId, record]) => describe(fingerprint, targetId, record))
            );
        },
        digest: () => {
            removeExpired();
            return count * digestModulus + hashSum;
        },
        onChanged: listener => void listeners.push(listener),
    };
}

/** The more certain time is kept, or that of the first report. */
function mergeRecords(known: KnownRecord, other: KnownRecord): KnownRecord {
    const { endedAt, uncertainty } = other.uncertainty < known.uncertainty ? other : known;
    return {
        endedAt,
        uncertainty,
        chain: Math.max(known.chain, other.chain),
        isRefuted: known.isRefuted || other.isRefuted,
    };
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
