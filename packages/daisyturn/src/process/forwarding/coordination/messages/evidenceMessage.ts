import { type CrashRecord, evidenceLifetimeMilliseconds } from "../../../crashes/index.js";
import {
    encodeNotification,
    isAmount,
    isName,
    type Notification,
    readList,
    readName,
    readOptionalAmount,
    readOrUndefined,
} from "./notification.js";

/** Evidence on requests that end their targets. */
export interface EvidenceMessage {
    readonly from: string;
    /** `CrashEvidence.digest` of the sender, if these are all its records; absent for new records. */
    readonly digest?: number;
    readonly records: readonly CrashRecord[];
}

/** Fingerprint, target, age in milliseconds, whether refuted. */
type RecordEntry = readonly [string, string, number, boolean];

export const evidenceMethod = "evidence";
/** As many records as fit a datagram that networks deliver in one piece. */
const maxRecordsPerDatagram = 20;

/** Encodes a message as one or more notifications. The last one has the digest. */
export function encodeEvidence({ from, digest, records }: EvidenceMessage): Buffer[] {
    const entries = records.map((
        { fingerprint, targetId, age, isRefuted },
    ): RecordEntry => [fingerprint, targetId, age, isRefuted]);
    const count = Math.max(1, Math.ceil(entries.length / maxRecordsPerDatagram));
    return Array.from({ length: count }, (value, index) => {
        const first = index * maxRecordsPerDatagram;
        const sent = entries.slice(first, first + maxRecordsPerDatagram);
        return encodeNotification(evidenceMethod, {
            from,
            records: sent,
            ...(index === count - 1 && { digest }),
        });
    });
}

/** Decodes a message. Returns undefined if it has no sender or no list; invalid records are skipped. */
export function readEvidence({ method, params }: Notification): EvidenceMessage | undefined {
    return method === evidenceMethod ? readOrUndefined(() => readParams(params)) : undefined;
}

function readParams(params: Notification["params"]): EvidenceMessage {
    const isAge = (value: unknown) => isAmount(value, evidenceLifetimeMilliseconds);
    const isFlag = (value: unknown) => typeof value === "boolean";
    const entries = readList<RecordEntry>(params["records"], [isName, isName, isAge, isFlag]);
    return {
        from: readName(params["from"]),
        digest: readOptionalAmount(params["digest"]),
        records: entries.map(([fingerprint, targetId, age, isRefuted]) => ({ fingerprint, targetId, age, isRefuted })),
    };
}
