import type { JsonObject } from "daisyturn-utils";
import { z } from "zod";

const releaseSchema = z.object({ engineId: z.string(), orderId: z.string() });
const quiesceSchema = releaseSchema.extend({ forMilliseconds: z.number().nonnegative() });
const answerSchema = z.object({ inFlight: z.number().int().nonnegative() });

/** Tells a process that it may use an engine again. */
export interface ReleaseNotice {
    readonly engineId: string;
    readonly orderId: string;
}

/** Demands that a process sends no new work to an engine. */
export interface QuiesceRequest extends ReleaseNotice {
    /** How long the request holds from its arrival, unless it is repeated. */
    readonly forMilliseconds: number;
}

/** What still runs at the engine for the process that answers. */
export interface QuiesceAnswer {
    readonly inFlight: number;
}

/** Reads a request; throws where a peer sent something else. */
export function parseQuiesceRequest(parameters: JsonObject): QuiesceRequest {
    return quiesceSchema.parse(parameters);
}

/** Reads a notice; throws where a peer sent something else. */
export function parseReleaseNotice(parameters: JsonObject): ReleaseNotice {
    return releaseSchema.parse(parameters);
}

/** Reads an answer; undefined where a peer sent something else. */
export function parseQuiesceAnswer(parameters: JsonObject): QuiesceAnswer | undefined {
    return answerSchema.safeParse(parameters).data;
}
