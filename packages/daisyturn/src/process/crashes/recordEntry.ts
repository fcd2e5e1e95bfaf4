import { type CrashRecord, requestDepth } from "./crashRecord.js";
import { refusalIntervalMilliseconds } from "./createRecordSet.js";

/**
 * A record in messages: fingerprint, target, age and uncertainty in milliseconds, chain, whether refuted, and for what
 * earlier versions don't know (parts, and requests that were refused) depth, whether answered before, idle milliseconds.
 * Earlier versions skip longer entries.
 */
export type RecordEntry = readonly [string, string, number, number, number, boolean, number?, boolean?, number?];

export function encodeRecord(record: CrashRecord): RecordEntry {
    const { fingerprint, targetId, age, uncertainty, chain, isRefuted, depth, wasAnswered, idle } = record;
    const entry = [fingerprint, targetId, age, uncertainty, chain, isRefuted] as const;
    const isRefused = age - idle >= refusalIntervalMilliseconds;
    return depth === requestDepth && !isRefused ? entry : [...entry, depth, wasAnswered, idle];
}

export function decodeRecord(entry: RecordEntry): CrashRecord {
    const [fingerprint, targetId, age, uncertainty, chain, isRefuted] = entry;
    const [, , , , , , depth = requestDepth, wasAnswered = false, idle = age] = entry;
    return { fingerprint, targetId, age, uncertainty, chain, isRefuted, depth, wasAnswered, idle };
}
