import { z } from "zod";
import type { ProcessIdentity } from "./peerNetwork.js";

const maxTextLength = 256;

const text = z.string().min(1).max(maxTextLength);

/** Schema of an identity received from a peer. */
export const processIdentitySchema: z.ZodType<ProcessIdentity> = z.object({
    processId: text,
    incarnation: text,
    vmId: text,
    availabilityZone: text,
    peerAddress: text,
});
