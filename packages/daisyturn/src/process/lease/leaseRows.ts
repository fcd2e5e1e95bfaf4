import type { JsonValue } from "daisyturn-utils";
import { z } from "zod";
import { type ProcessIdentity, processIdentitySchema } from "../peers/index.js";

const fencingValueSchema = z.object({
    holder: processIdentitySchema,
    fencingNumber: z.number().int().positive(),
    leaseMilliseconds: z.number().positive(),
    released: z.boolean(),
    era: z.number().int().nonnegative().optional(),
});

/** Value of the row that changes only at takeover and release. */
export interface FencingValue {
    readonly holder: ProcessIdentity;
    /** In a store with eras, the holder's number is derived from the version of its takeover instead. */
    readonly fencingNumber: number;
    /** Length of the lease as its holder counts it; a claimant waits at least as long. */
    readonly leaseMilliseconds: number;
    readonly released: boolean;
    /** Era in which the row was written; absent in a store without eras. */
    readonly era?: number;
}

/** Key of the row that tells who holds a lease. */
export function fencingRowKey(leaseName: string): string {
    return `lease/${leaseName}`;
}

/** Key of the row that the holder rewrites to show that it lives. */
export function renewalRowKey(leaseName: string): string {
    return `lease/${leaseName}/renewal`;
}

/** Reads a fencing row's value; undefined if it is not one. */
export function parseFencingValue(value: JsonValue): FencingValue | undefined {
    return fencingValueSchema.safeParse(value).data;
}
