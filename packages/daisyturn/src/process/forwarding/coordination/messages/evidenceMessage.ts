import {
    type CrashRecord,
    decodeRecord,
    encodeRecord,
    evidenceLifetimeMilliseconds,
    type RecordEntry,
    requestDepth,
} from "../../../crashes/index.js";
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

/** Evidence on requests, and on parts of prompts, that end their targets. */
export interface EvidenceMessage {
    readonly from: string;
    /** `CrashEvidence.digest` of the sender, if these are all its records; absent for new records. */
    readonly digest?: number;
    readonly records: readonly CrashRecord[];
}

export const evidenceMethod = "evidence";
/** As many records as fit a datagram that networks deliver in one piece. */
const maxRecordsPerDatagram = 20;
/** Far more targets than an attempt is sent to. */
const maxChain = 100;

/** Encodes a message as one or more notifications. The last one has the digest. */
export function encodeEvidence({ from, digest, records }: EvidenceMessage): Buffer[] {
    const entries = records.map(encodeRecord);
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
    const isIdle = (value: unknown) => value === undefined || isAmount(value, evidenceLifetimeMilliseconds);
    const isAge = (value: unknown) => isAmount(value);
    const isChain = (value: unknown) => isAmount(value, maxChain);
    const isDepth = (value: unknown) => value === undefined || isAmount(value, requestDepth);
    const isFlag = (value: unknown) => typeof value === "boolean";
    const isOptionalFlag = (value: unknown) => value === undefined || isFlag(value);
    const checks = [isName, isName, isAge, isAge, isChain, isFlag, isDepth, isOptionalFlag, isIdle];
    return {
        from: readName(params["from"]),
        digest: readOptionalAmount(params["digest"]),
        records: readList<RecordEntry>(params["records"], checks).map(decodeRecord),
    };
}
