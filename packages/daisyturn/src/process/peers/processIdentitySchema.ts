import { createOnFirstUse } from "daisyturn-utils";
import { z } from "zod";
import type { ProcessIdentity } from "./peerNetwork.js";

const maxTextLength = 256;

/** Returns the schema of an identity received from a peer. */
export const processIdentitySchema = createOnFirstUse((): z.ZodType<ProcessIdentity> => {
    const text = z.string().min(1).max(maxTextLength);
    return z.object({ processId: text, incarnation: text, vmId: text, availabilityZone: text, peerAddress: text });
});
