import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { type CrashRecord, evidenceLifetimeMilliseconds, type KnownRecord, requestDepth } from "./crashRecord.js";
import { createRecordSet, refusalIntervalMilliseconds } from "./createRecordSet.js";
import { dropLeastTelling } from "./dropLeastTelling.js";
import { endsForListing, selectCulprits, type Selection, type Suspect } from "./selectCulprits.js";

/** A request or a part that is kept out of targets, because several of them ended while they ran it. */
export interface ListedSuspect {
    readonly fingerprint: string;
    readonly targetIds: readonly string[];
    /** Monotonic time until which it is listed, unless requests with it still come. */
    readonly until: number;
}

/** The end of a target, and the requests and parts that ran there. */
export interface RecordedCrash extends Pick<CrashRecord, "targetId" | "uncertainty"> {
    /** Monotonic time by which the target had ended. */
    readonly endedAt: number;
    readonly suspects: readonly Pick<CrashRecord, "fingerprint" | "chain" | "depth" | "wasAnswered">[];
}

/**
 * Evidence on requests, and on parts of their prompts, that end the targets that run them, from this process and others.
 * It is a set: records that are lost, repeated or relayed never count twice.
 */
export interface CrashEvidence {
    /** Records that a target ended while requests of this process ran there. */
    recordCrash(crash: RecordedCrash): void;
    /** Records that a request with a suspect was answered, which refutes all evidence against it so far. */
    recordAnswer(fingerprint: string): void;
    /** Records that requests with a suspect had been answered before the ends that are recorded against it. */
    recordEarlierAnswer(fingerprint: string): void;
    /** Records that a request was refused because of a suspect, which stays listed for as long as that happens. */
    recordRefusal(fingerprint: string): void;
    /** Adds records of another process. @param source passed on to the listeners */
    recordRemote(records: readonly CrashRecord[], source?: string): void;
    /** Returns why requests with a suspect are kept out of targets; undefined if they are not. */
    findListed(fingerprint: string): ListedSuspect | undefined;
    /** Whether a request is to blame for the ends of targets unless the next end shows another one. */
    isUndecided(fingerprint: string): boolean;
    /** Whether any request is undecided. */
    hasUndecided(): boolean;
    /** Whether any request, and whether any part, is listed. */
    hasListed(): { readonly requests: boolean; readonly parts: boolean; };
    /** Number of requests and parts that are listed. */
    countListed(): number;
    isEmpty(): boolean;
    list(): readonly CrashRecord[];
    /** Returns a number that is the same at processes with the same records; 0 without records. */
    digest(): number;
    /** Registers a listener that is called with new and changed records and the source of remote ones. */
    onChanged(listener: (records: readonly CrashRecord[], source: string | undefined) => void): void;
}

/** A crash adds a few dozen records, one for each request and part at the target. */
const maxRecords = 2_048;

type Listener = (records: readonly CrashRecord[], source: string | undefined) => void;

/** Creates the evidence of one process. */
export function createCrashEvidence(clock: Clock, eventLog: EventLog): CrashEvidence {
    const records = createRecordSet(clock);
    const { suspects } = records;
    const listeners: Listener[] = [];
    let listed: Selection["culprits"] = new Map();
    let undecided: Selection["undecided"] = new Set();
    let listedKinds = { requests: false, parts: false };

    const describe = (
        fingerprint: string,
        targetId: string,
        { endedAt, lastSeenAt, uncertainty, ...record }: KnownRecord,
    ): CrashRecord => ({
        ...record,
        fingerprint,
        targetId,
        age: Math.max(0, Math.round(clock.monotonicNow() - endedAt)),
        uncertainty: Math.round(uncertainty),
        idle: Math.max(0, Math.round(clock.monotonicNow() - lastSeenAt)),
    });

    const updateListed = () => {
        records.removeExpired();
        if (!records.takeChanged()) {
            return;
        }
        const before = listed;
        const selection = selectCulprits([...suspects].map(([fingerprint, ends]) => toSuspect(fingerprint, ends)));
        ({ culprits: listed, undecided } = selection);
        for (const [fingerprint, targetIds] of listed) {
            if (targetIds.length !== before.get(fingerprint)?.length) {
                eventLog.record(EventKind.CallListed, { fingerprint, targets: targetIds.join() });
            }
        }
        const depths = [...listed.keys()].map(fingerprint => findDepth(suspects.get(fingerprint)));
        listedKinds = {
            requests: depths.includes(requestDepth),
            parts: depths.some(depth => depth < requestDepth),
        };
        for (const fingerprint of before.keys()) {
            if (!listed.has(fingerprint)) {
                eventLog.record(EventKind.CallUnlisted, { fingerprint });
            }
        }
    };

    const notify = (changed: readonly CrashRecord[], source?: string) => {
        const surplus = records.count() - maxRecords;
        if (surplus > 0) {
            updateListed();
            dropLeastTelling(suspects, listed, surplus)
                .forEach(([fingerprint, targetId]) => records.remove(fingerprint, targetId));
        }
        if (changed.length > 0) {
            listeners.forEach(listener => listener(changed, source));
        }
    };

    /** Changes all records of a suspect. */
    const change = (fingerprint: string, update: (record: KnownRecord) => KnownRecord) => {
        const changed = [...suspects.get(fingerprint) ?? []]
            .map(([targetId, record]) => [targetId, update(record)] as const)
            .filter(([targetId, record]) => records.put(fingerprint, targetId, record));
        notify(changed.map(([targetId, record]) => describe(fingerprint, targetId, record)));
    };

    const findListed = (fingerprint: string): ListedSuspect | undefined => {
        updateListed();
        const targetIds = listed.get(fingerprint);
        const ends = targetIds && suspects.get(fingerprint);
        if (!ends) {
            return undefined;
        }
        const latestFirst = targetIds.map(targetId => ends.get(targetId)?.lastSeenAt ?? -Infinity)
            .sort((left, right) => right - left);
        const until = (latestFirst[endsForListing - 1] ?? -Infinity) + evidenceLifetimeMilliseconds;
        return { fingerprint, targetIds, until };
    };

    return {
        recordCrash: ({ targetId, endedAt, uncertainty, suspects: aboard }) => {
            records.removeExpired();
            const added = aboard.flatMap(({ fingerprint, ...suspect }) => {
                const record = { ...suspect, endedAt, uncertainty, isRefuted: false, lastSeenAt: endedAt };
                return records.put(fingerprint, targetId, record) ? [describe(fingerprint, targetId, record)] : [];
            });
            notify(added);
            updateListed();
        },
        recordAnswer: fingerprint => change(fingerprint, record => ({ ...record, isRefuted: true })),
        recordEarlierAnswer: fingerprint => change(fingerprint, record => ({ ...record, wasAnswered: true })),
        recordRefusal: fingerprint => {
            const now = clock.monotonicNow();
            change(
                fingerprint,
                record =>
                    now - record.lastSeenAt < refusalIntervalMilliseconds ? record : { ...record, lastSeenAt: now },
            );
        },
        recordRemote: (received, source) => {
            records.removeExpired();
            const now = clock.monotonicNow();
            const changed = received.filter(({ fingerprint, targetId, age, idle, ...record }) =>
                idle < evidenceLifetimeMilliseconds
                && records.put(fingerprint, targetId, { ...record, endedAt: now - age, lastSeenAt: now - idle })
            );
            notify(changed, source);
            updateListed();
        },
        findListed,
        isUndecided: fingerprint => {
            updateListed();
            return undecided.has(fingerprint);
        },
        hasUndecided: () => {
            updateListed();
            return undecided.size > 0;
        },
        hasListed: () => {
            updateListed();
            return listedKinds;
        },
        countListed: () => {
            updateListed();
            return listed.size;
        },
        isEmpty: () => records.count() === 0,
        list: () => {
            records.removeExpired();
            return [...suspects].flatMap(([fingerprint, ends]) =>
                [...ends].map(([targetId, record]) => describe(fingerprint, targetId, record))
            );
        },
        digest: () => {
            records.removeExpired();
            return records.digest();
        },
        onChanged: listener => void listeners.push(listener),
    };
}

function findDepth(records: ReadonlyMap<string, KnownRecord> | undefined): number {
    return Math.max(...[...records?.values() ?? []].map(({ depth }) => depth));
}

function toSuspect(fingerprint: string, records: ReadonlyMap<string, KnownRecord>): Suspect {
    return {
        fingerprint,
        depth: findDepth(records),
        wasAnswered: [...records.values()].some(record => record.wasAnswered),
        ends: new Map([...records].filter(([, { isRefuted }]) => !isRefuted)),
        refuted: new Map([...records].filter(([, { isRefuted }]) => isRefuted)),
    };
}
