import { type Clock, type JsonObject, toJson } from "daisyturn-utils";
import { ExchangeSection, type LoadExchange, type Membership } from "../peers/index.js";
import { type CrashRecord, requestDepth } from "./crashRecord.js";
import type { CrashEvidence } from "./createCrashEvidence.js";
import { decodeRecord, encodeRecord, type RecordEntry } from "./recordEntry.js";

/** What {@link shareCrashEvidence} needs. */
export interface SharedEvidenceOptions {
    readonly evidence: CrashEvidence;
    readonly exchange: Pick<LoadExchange, "register">;
    readonly membership: Pick<Membership, "livePeers">;
    readonly clock: Clock;
}

interface EvidenceContent {
    readonly digest: number;
    readonly records: readonly RecordEntry[];
}

/** Minimum interval between two messages with all records. */
const repeatMilliseconds = 500;
const maxNameLength = 200;

/**
 * Sends the evidence of this process to all live peers: new records in the next round, and all records after a peer has
 * started or has sent a digest that differs.
 */
export function shareCrashEvidence({ evidence, exchange, membership, clock }: SharedEvidenceOptions): void {
    /** Fingerprints and targets of new records of this process. */
    const unsent = new Set<string>();
    let knownPeers: ReadonlySet<string> = new Set();
    let isRepeatDue = false;
    let repeatedAt = -Infinity;
    evidence.onChanged((records, source) => {
        if (source === undefined) {
            records.forEach(record => unsent.add(describeKey(record)));
        }
    });

    const noticeNewPeers = () => {
        const peers = new Set(membership.livePeers().map(peer => peer.incarnation));
        isRepeatDue ||= [...peers].some(incarnation => !knownPeers.has(incarnation));
        knownPeers = peers;
    };

    const collect = (): JsonObject | undefined => {
        noticeNewPeers();
        if (evidence.isEmpty()) {
            isRepeatDue = false;
            return undefined;
        }
        const now = clock.monotonicNow();
        const isRepeated = isRepeatDue && now - repeatedAt >= repeatMilliseconds;
        const records = evidence.list().filter(record => isRepeated || unsent.has(describeKey(record)));
        if (isRepeated) {
            isRepeatDue = false;
            repeatedAt = now;
        }
        unsent.clear();
        return toJson({ digest: evidence.digest(), records: records.map(encodeRecord) }) as JsonObject;
    };

    const receive = (content: JsonObject, source: string) => {
        const { digest, records } = content as unknown as EvidenceContent;
        evidence.recordRemote(records.filter(isRecordEntry).map(decodeRecord), source);
        isRepeatDue ||= digest !== evidence.digest();
    };

    exchange.register({
        section: ExchangeSection.CrashEvidence,
        isUrgent: () => unsent.size > 0,
        collect,
        receive: (content, from) => receive(content, from.processId),
    });
}

function describeKey({ fingerprint, targetId }: CrashRecord): string {
    return `${fingerprint} ${targetId}`;
}

function isRecordEntry(entry: unknown): entry is RecordEntry {
    const isName = (value: unknown) => typeof value === "string" && value !== "" && value.length <= maxNameLength;
    const isAmount = (value: unknown): value is number => typeof value === "number" && value >= 0;
    const isOptional = (value: unknown, check: (value: unknown) => boolean) => value === undefined || check(value);
    const isDepth = (value: unknown) => isAmount(value) && value <= requestDepth;
    return Array.isArray(entry) && isName(entry[0]) && isName(entry[1]) && isAmount(entry[2]) && isAmount(entry[3])
        && isAmount(entry[4]) && typeof entry[5] === "boolean" && isOptional(entry[6], isDepth)
        && isOptional(entry[7], value => typeof value === "boolean") && isOptional(entry[8], isAmount);
}
