import { type Failure, FailureReason, type IdSource, notRun, toJson } from "daisyturn-utils";
import { z } from "zod";
import type { FleetConfigurationManager } from "../../process/configuration/index.js";
import type { ItemChange } from "../../version/configurationChange.js";
import { writeIdSchema } from "../../version/itemSchemas.js";
import type { OperatorAnswer, OperatorIdentity } from "./operatorRoutes.js";

/** Write id and expected generation of a request that publishes a change. */
export const publishGuardsSchema = z.object({
    writeId: writeIdSchema.optional(),
    expectedGeneration: z.coerce.number().int().nonnegative().optional(),
});

/** Write id and expected generation of one request. */
export type PublishGuards = z.infer<typeof publishGuardsSchema>;

/** Parses the guards from the query parameters `write-id` and `expected-generation`. */
export function readGuards(query: URLSearchParams) {
    return publishGuardsSchema.safeParse({
        writeId: query.get("write-id") ?? undefined,
        expectedGeneration: query.get("expected-generation") ?? undefined,
    });
}

/** Publishes changes on behalf of an operator. */
export async function publishForOperator(
    configurationManager: FleetConfigurationManager,
    ids: IdSource,
    operator: OperatorIdentity,
    changes: readonly ItemChange[],
    guards: PublishGuards,
): Promise<OperatorAnswer> {
    const writeId = guards.writeId ?? ids.next("op");
    const { expectedGeneration } = guards;
    const answer = await configurationManager.publish({
        writeId,
        partner: operator.partner,
        operator: operator.name,
        changes,
        ...(expectedGeneration !== undefined && { expectedGeneration }),
    });
    return answer
        .map(value => ({ writeId, ...toJson(value) }))
        .mapErr(failure => explainFailure(failure, writeId, guards.writeId === undefined));
}

/**
 * Adds the write id to the message, since a repeated request must use the same one. A write id that was generated for
 * this request can't have been used before. If the store could not even be read, the change was therefore not made.
 */
function explainFailure(failure: Failure, writeId: string, isNewId: boolean): Failure {
    const message = `${failure.message} (write id ${writeId})`;
    return isNewId && failure.reason === FailureReason.StoreUnavailable
        ? notRun(failure.reason, message, failure.retryAt)
        : { ...failure, message };
}
