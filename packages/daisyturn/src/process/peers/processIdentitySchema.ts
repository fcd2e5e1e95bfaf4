import { createOnFirstUse } from "daisyturn-utils";
import { z } from "zod";
import type { ProcessIdentity } from "./peerNetwork.js";

const maxTextLength = 256;

/** Returns the schema of an identity received from a peer. */
export const processIdentitySchema = createOnFirstUse((): z.ZodType<ProcessIdentity> => {
    const text = z.string().min(1).max(maxTextLength);
    return z.object({ processId: text, incarnation: text, vmId: text, availabilityZone: text, peerAddress: text });
});

/** Returns the identity in a value, or undefined if a field is missing or invalid; the same check without zod. */
export function readProcessIdentity(value: unknown): ProcessIdentity | undefined {
    const { processId, incarnation, vmId, availabilityZone, peerAddress } = Object(value) as Record<string, unknown>;
    const fields = { processId, incarnation, vmId, availabilityZone, peerAddress };
    const isText = (text: unknown) => typeof text === "string" && text !== "" && text.length <= maxTextLength;
    return Object.values(fields).every(isText) ? fields as ProcessIdentity : undefined;
}
