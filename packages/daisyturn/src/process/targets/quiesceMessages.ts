import type { JsonObject } from "daisyturn-utils";
import { z } from "zod";

const releaseSchema = z.object({ engineId: z.string(), orderId: z.string() });
const quiesceSchema = releaseSchema.extend({ forMilliseconds: z.number().nonnegative() });
const answerSchema = z.object({ inFlight: z.number().int().nonnegative() });

/** Notifies a process that it may use an engine again. */
export interface ReleaseNotice {
    readonly engineId: string;
    readonly orderId: string;
}

/** Requests that a process sends no new work to an engine. */
export interface QuiesceRequest extends ReleaseNotice {
    /** How long the request is valid from its receipt, unless it is repeated. */
    readonly forMilliseconds: number;
}

/** Work of the answering process that still runs at the engine. */
export interface QuiesceAnswer {
    readonly inFlight: number;
}

/** @throws if the peer sent an invalid request */
export function parseQuiesceRequest(parameters: JsonObject): QuiesceRequest {
    return quiesceSchema.parse(parameters);
}

/** @throws if the peer sent an invalid notice */
export function parseReleaseNotice(parameters: JsonObject): ReleaseNotice {
    return releaseSchema.parse(parameters);
}

/** Returns undefined if the peer sent an invalid answer. */
export function parseQuiesceAnswer(parameters: JsonObject): QuiesceAnswer | undefined {
    return answerSchema.safeParse(parameters).data;
}
