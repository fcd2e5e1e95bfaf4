import { toJson } from "daisyturn-utils";
import type { RowCondition, Transaction } from "../../ports/tableService.js";
import type { Lease } from "./lease.js";
import { fencingRowKey, type FencingValue, renewalRowKey } from "./leaseRows.js";

/** Condition that a lease has had no other holder since; belongs into every write made under it. */
export function fencingCondition(lease: Lease): RowCondition {
    return { key: lease.fencingRow.key, expectedVersion: lease.fencingRow.version };
}

/** Takes a lease, if neither of its rows has changed since they were read. */
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
 * Shows that the holder lives. Only the holder writes the renewal row, so the fencing row's version is the only
 * condition needed: a renewal that arrives after a takeover is rejected by it.
 */
export function renewalTransaction(lease: Lease, writeId: string, incarnation: string, count: number): Transaction {
    return {
        writeId,
        conditions: [fencingCondition(lease)],
        writes: [{ key: renewalRowKey(lease.name), value: { incarnation, count } }],
    };
}

/** Gives a lease back. */
export function releaseTransaction(lease: Lease, writeId: string, value: FencingValue): Transaction {
    return {
        writeId,
        conditions: [fencingCondition(lease)],
        writes: [{ key: lease.fencingRow.key, value: toJson({ ...value, released: true }) }],
    };
}
