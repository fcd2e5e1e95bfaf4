import { type Clock, type Failure, FailureReason, type JsonValue, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { z } from "zod";
import { absentVersion, type Row, type Transaction, TransactionOutcome } from "../../ports/tableService.js";
import { type StoreClient, StorePriority } from "./storeClient.js";

/** Keys of all markers begin with this. */
export const writeMarkerPrefix = "writes/";

/** Markers this old may be removed: no try of their transaction can still be on its way to the store. */
export const defaultMarkerRetentionMilliseconds = 24 * 60 * 60 * 1_000;

const markersPerTransaction = 50;
const abandonedSuffix = "/abandoned";

/** Wall-clock time at which the marker was made, for its removal. */
const markerValueSchema = z.object({ madeAt: z.number() });

/** Key of the marker of a transaction. */
export function writeMarkerKey(writeId: string): string {
    return writeMarkerPrefix + writeId;
}

/**
 * Adds a marker row that proves that the transaction took effect, whatever happens to its other rows later. With it the
 * store client gives a definite answer as soon as the store answers, and the transaction runs at most once even if it
 * has no other condition. It costs one row.
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
 * A transaction that takes the marker's place. Once it is committed the marked transaction never takes effect, also not
 * a try that is still on its way.
 */
export function createAbandonment(transaction: Transaction): Transaction {
    const key = writeMarkerKey(transaction.writeId);
    const marker = transaction.writes.find(write => write.key === key);
    return {
        writeId: transaction.writeId + abandonedSuffix,
        conditions: [{ key, expectedVersion: absentVersion }],
        writes: [{ key, value: marker?.value }],
    };
}

/** What the removal of old markers needs. */
export interface MarkerRemovalOptions {
    readonly storeClient: StoreClient;
    readonly clock: Clock;
    /** Makes write ids. */
    readonly nextWriteId: () => string;
    /** Must be longer than any transaction can be on its way, plus the difference between the VMs' wall clocks. */
    readonly retentionMilliseconds?: number;
}

/**
 * Removes old markers. To be run now and then by one process, at the lowest priority; several at once do no harm.
 * @param deadline monotonic
 * @returns how many were removed
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

/** A marker that can't be read is kept. */
function readMadeAt(value: JsonValue): number {
    const parsed = markerValueSchema.safeParse(value);
    return parsed.success ? parsed.data.madeAt : Number.POSITIVE_INFINITY;
}
