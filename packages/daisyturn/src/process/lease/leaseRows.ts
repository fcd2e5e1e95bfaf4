import type { JsonValue } from "daisyturn-utils";
import { type ProcessIdentity, readProcessIdentity } from "../peers/index.js";

/** Value of the row that changes only at takeover and release. */
export interface FencingValue {
    readonly holder: ProcessIdentity;
    /** In a store with eras, the lease's number is derived from the version of the takeover instead. */
    readonly fencingNumber: number;
    /** Length of the lease as its holder applies it; another process waits at least as long before a takeover. */
    readonly leaseMilliseconds: number;
    readonly released: boolean;
    /** Era in which the row was written; absent in a store without eras. */
    readonly era?: number;
}

/** Returns the key of the row that names the holder of a lease. */
export function fencingRowKey(leaseName: string): string {
    return `lease/${leaseName}`;
}

/** Returns the key of the row that the holder rewrites on each renewal. */
export function renewalRowKey(leaseName: string): string {
    return `lease/${leaseName}/renewal`;
}

/**
 * Parses the value of a fencing row; undefined if it is invalid. Every process may observe a lease from its start, so the
 * row is read without zod, whose loading takes a fifth of the processor time of a start.
 */
export function parseFencingValue(value: JsonValue): FencingValue | undefined {
    const { holder, fencingNumber, leaseMilliseconds, released, era } = Object(value) as Record<string, unknown>;
    const identity = readProcessIdentity(holder);
    const isValid = Number.isSafeInteger(fencingNumber) && Number(fencingNumber) > 0
        && Number.isFinite(leaseMilliseconds) && Number(leaseMilliseconds) > 0
        && typeof released === "boolean"
        && (era === undefined || Number.isSafeInteger(era) && Number(era) >= 0);
    if (!identity || !isValid) {
        return undefined;
    }
    const fields = { fencingNumber, leaseMilliseconds, released, ...(era !== undefined && { era }) };
    return { holder: identity, ...fields as Omit<FencingValue, "holder"> };
}
