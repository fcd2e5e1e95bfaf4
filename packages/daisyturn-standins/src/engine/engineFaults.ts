import { z } from "zod";

/** Faults to inject into an engine stand-in, each used once unless stated otherwise. Body of `POST /control/faults`. */
export const engineFaultsSchema = z.object({
    /** The next change stops halfway and leaves the engine in phase Stuck. */
    stopNextChange: z.boolean().optional(),
    /** The engine crashes halfway through the next change and restarts as a new incarnation in phase Stuck. */
    crashNextChange: z.boolean().optional(),
    /** The next order takes effect, but the connection is reset before the answer is sent. */
    loseNextOrderAnswer: z.boolean().optional(),
    /** Token counts after which the next stream connections are cut, one per connection. The work continues. */
    cutStreamsAfterTokens: z.array(z.number().int().nonnegative()).optional(),
    /** New generate requests get no answer until this is set to false. */
    hangGenerate: z.boolean().optional(),
});

/** Faults of an engine stand-in. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
