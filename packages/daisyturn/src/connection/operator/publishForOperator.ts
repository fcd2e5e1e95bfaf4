import { type Failure, FailureReason, type IdSource, notRun, toJson } from "daisyturn-utils";
import { z } from "zod";
import type { FleetConfigurationManager } from "../../process/configuration/index.js";
import type { ItemChange } from "../../version/configurationChange.js";
import { writeIdSchema } from "../../version/itemSchemas.js";
import type { OperatorAnswer, OperatorIdentity } from "./operatorRoutes.js";

/** How a call that changes something may be named and guarded, beside the change itself. */
export const publishGuardsSchema = z.object({
    writeId: writeIdSchema.optional(),
    expectedGeneration: z.coerce.number().int().nonnegative().optional(),
});

/** Name and guard of one call. */
export type PublishGuards = z.infer<typeof publishGuardsSchema>;

/** Reads name and guard from a query: `write-id` and `expected-generation`. */
export function readGuards(query: URLSearchParams) {
    return publishGuardsSchema.safeParse({
        writeId: query.get("write-id") ?? undefined,
        expectedGeneration: query.get("expected-generation") ?? undefined,
    });
}

/** Publishes changes in the operator's name. */
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
 * Names the write id, under which the operator must ask again. A write id made for this call can't have been sent
 * before: where the store could not even be read, the change is certainly not made.
 */
function explainFailure(failure: Failure, writeId: string, isNewId: boolean): Failure {
    const message = `${failure.message} (write id ${writeId})`;
    return isNewId && failure.reason === FailureReason.StoreUnavailable
        ? notRun(failure.reason, message, failure.retryAt)
        : { ...failure, message };
}
