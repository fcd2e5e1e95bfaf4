import { type Clock, createOnFirstUse, type Failure, FailureReason, type JsonValue, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { z } from "zod";
import { absentVersion, type Row, type Transaction, TransactionOutcome } from "../../ports/tableService.js";
import { type StoreClient, StorePriority } from "./storeClient.js";

/** Prefix of the keys of all markers. */
export const writeMarkerPrefix = "writes/";

/** Markers of this age may be removed: no attempt of their transaction can still be in flight. */
export const defaultMarkerRetentionMilliseconds = 24 * 60 * 60 * 1_000;

const markersPerTransaction = 50;
const abortSuffix = "/abandoned";

/** `madeAt` is the wall-clock time at which the marker was created. It determines when the marker is removed. */
const markerValueSchema = createOnFirstUse(() => z.object({ madeAt: z.number() }));

/** Key of the marker row of a transaction. */
export function writeMarkerKey(writeId: string): string {
    return writeMarkerPrefix + writeId;
}

/**
 * Adds a marker row that proves that the transaction took effect, whatever happens to its other rows later. With it,
 * the store client returns a definite outcome as soon as the store answers, and the transaction commits at most once
 * even if it has no other condition. It costs one additional row.
 * @param madeAt wall-clock time
 */
export function addWriteMarker(transaction: Transaction, madeAt: number): Transaction {
    const key = writeMarkerKey(transaction.writeId);
    return {
        ...transaction,
        conditions: [...transaction.conditions, { key, expectedVersion: absentVersion }],
        writes: [...transaction.writes, { key, value: { madeAt } }],
    };
}

/** Whether the transaction carries its marker. */
export function hasWriteMarker(transaction: Transaction): boolean {
    const key = writeMarkerKey(transaction.writeId);
    return transaction.writes.some(write => write.key === key);
}

/**
 * A transaction that writes the marker row in place of the marked transaction. Once it has committed, the marked
 * transaction can no longer take effect, not even by an attempt that is still in flight.
 */
export function createAbortTransaction(transaction: Transaction): Transaction {
    const key = writeMarkerKey(transaction.writeId);
    const marker = transaction.writes.find(write => write.key === key);
    return {
        writeId: transaction.writeId + abortSuffix,
        conditions: [{ key, expectedVersion: absentVersion }],
        writes: [{ key, value: marker?.value }],
    };
}

export interface MarkerRemovalOptions {
    readonly storeClient: StoreClient;
    readonly clock: Clock;
    /** Creates write ids. */
    readonly nextWriteId: () => string;
    /** Must exceed the time that a transaction can be in flight plus the difference between the VMs' wall clocks. */
    readonly retentionMilliseconds?: number;
}

/**
 * Removes old markers, at the lowest priority. Should be run periodically by one process; concurrent runs are harmless.
 * @param deadline monotonic
 * @returns the number of removed markers
 */
export async function removeOldMarkers(
    options: MarkerRemovalOptions,
    deadline: number,
): Promise<Result<number, Failure>> {
    const { storeClient, clock } = options;
    const listed = await storeClient.list(writeMarkerPrefix, StorePriority.Other, deadline);
    if (listed.isErr) {
        return err(listed.error);
    }
    const oldest = clock.wallNow() - (options.retentionMilliseconds ?? defaultMarkerRetentionMilliseconds);
    const old = listed.value.filter(row => readMadeAt(row.value) < oldest);
    for (let start = 0; start < old.length; start += markersPerTransaction) {
        const removal = createRemoval(old.slice(start, start + markersPerTransaction), options.nextWriteId());
        const answer = await storeClient.commit(removal, StorePriority.Other, deadline);
        if (answer.outcome !== TransactionOutcome.Committed) {
            return err(notRun(FailureReason.StoreUnavailable, `old markers remain: ${answer.cause ?? answer.outcome}`));
        }
    }
    return ok(old.length);
}

function createRemoval(rows: readonly Row[], writeId: string): Transaction {
    return {
        writeId,
        conditions: rows.map(row => ({ key: row.key, expectedVersion: row.version })),
        writes: rows.map(row => ({ key: row.key, value: undefined })),
    };
}

/** A marker with an unreadable value is never removed. */
function readMadeAt(value: JsonValue): number {
    const parsed = markerValueSchema().safeParse(value);
    return parsed.success ? parsed.data.madeAt : Number.POSITIVE_INFINITY;
}
