import { toJson } from "daisyturn-utils";
import type { RowCondition, Transaction } from "../../ports/tableService.js";
import type { Lease } from "./lease.js";
import { fencingRowKey, type FencingValue, renewalRowKey } from "./leaseRows.js";

/** Returns the condition that the lease has had no later holder; part of every write made under the lease. */
export function fencingCondition(lease: Lease): RowCondition {
    return { key: lease.fencingRow.key, expectedVersion: lease.fencingRow.version };
}

/** Returns the transaction that acquires a lease if neither of its rows has changed since they were read. */
export function takeoverTransaction(
    leaseName: string,
    writeId: string,
    value: FencingValue,
    seen: { readonly fencingVersion: number; readonly renewalVersion: number; },
): Transaction {
    return {
        writeId,
        conditions: [
            { key: fencingRowKey(leaseName), expectedVersion: seen.fencingVersion },
            { key: renewalRowKey(leaseName), expectedVersion: seen.renewalVersion },
        ],
        writes: [
            { key: fencingRowKey(leaseName), value: toJson(value) },
            { key: renewalRowKey(leaseName), value: { incarnation: value.holder.incarnation, count: 0 } },
        ],
    };
}

/**
 * Returns the transaction that renews a lease. Only the holder writes the renewal row, so the fencing row's version is
 * the only condition needed: it rejects a renewal that arrives after a takeover.
 */
export function renewalTransaction(lease: Lease, writeId: string, incarnation: string, count: number): Transaction {
    return {
        writeId,
        conditions: [fencingCondition(lease)],
        writes: [{ key: renewalRowKey(lease.name), value: { incarnation, count } }],
    };
}

/** Returns the transaction that releases a lease. */
export function releaseTransaction(lease: Lease, writeId: string, value: FencingValue): Transaction {
    return {
        writeId,
        conditions: [fencingCondition(lease)],
        writes: [{ key: lease.fencingRow.key, value: toJson({ ...value, released: true }) }],
    };
}
