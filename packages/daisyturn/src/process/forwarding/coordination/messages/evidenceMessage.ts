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

/** Fingerprint, target, age and uncertainty in milliseconds, chain, whether refuted. */
type RecordEntry = readonly [string, string, number, number, number, boolean];

export const evidenceMethod = "evidence";
/** As many records as fit a datagram that networks deliver in one piece. */
const maxRecordsPerDatagram = 20;
/** Far more targets than an attempt is sent to. */
const maxChain = 100;

/** Encodes a message as one or more notifications. The last one has the digest. */
export function encodeEvidence({ from, digest, records }: EvidenceMessage): Buffer[] {
    const entries = records.map((
        { fingerprint, targetId, age, uncertainty, chain, isRefuted },
    ): RecordEntry => [fingerprint, targetId, age, uncertainty, chain, isRefuted]);
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
    const isChain = (value: unknown) => isAmount(value, maxChain);
    const isFlag = (value: unknown) => typeof value === "boolean";
    const entries = readList<RecordEntry>(params["records"], [isName, isName, isAge, isAge, isChain, isFlag]);
    return {
        from: readName(params["from"]),
        digest: readOptionalAmount(params["digest"]),
        records: entries.map(([fingerprint, targetId, age, uncertainty, chain, isRefuted]) => ({
            fingerprint,
            targetId,
            age,
            uncertainty,
            chain,
            isRefuted,
        })),
    };
}
