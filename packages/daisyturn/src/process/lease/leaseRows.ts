import { createOnFirstUse, type JsonValue } from "daisyturn-utils";
import { z } from "zod";
import { type ProcessIdentity, processIdentitySchema } from "../peers/index.js";

const fencingValueSchema = createOnFirstUse(() =>
    z.object({
        holder: processIdentitySchema(),
        fencingNumber: z.number().int().positive(),
        leaseMilliseconds: z.number().positive(),
        released: z.boolean(),
        era: z.number().int().nonnegative().optional(),
    })
);

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

/** Parses the value of a fencing row; undefined if it is invalid. */
export function parseFencingValue(value: JsonValue): FencingValue | undefined {
    return fencingValueSchema().safeParse(value).data;
}
