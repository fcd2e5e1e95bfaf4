import { type IdSource, toJson } from "daisyturn-utils";
import { z } from "zod";
import type { FleetConfigurationManager } from "../../process/configuration/index.js";
import { changeBodySchema, writeIdSchema } from "../../version/itemSchemas.js";
import { redactChange } from "./itemVisibility.js";
import { buildInvalidInput } from "./operatorAnswers.js";
import { OperatorMethod, type OperatorRequest, type OperatorRoutes } from "./operatorRoutes.js";
import { publishForOperator } from "./publishForOperator.js";

const defaultHistoryLength = 50;
const maxHistoryLength = 500;

const historyQuerySchema = z.object({
    limit: z.coerce.number().int().min(1).max(maxHistoryLength).default(defaultHistoryLength),
});

/** Options of {@link createChangeRoutes}. */
export interface ChangeRoutesOptions {
    readonly configurationManager: FleetConfigurationManager;
    readonly ids: IdSource;
}

/** Creates the routes that publish, preview and cancel changes, and that return their outcome and history. */
export function createChangeRoutes({ configurationManager, ids }: ChangeRoutesOptions): OperatorRoutes {
    const postChange = async ({ operator, query, body }: OperatorRequest) => {
        const parsed = changeBodySchema.safeParse(body);
        if (!parsed.success) {
            return buildInvalidInput(parsed.error);
        }
        const { changes, ...guards } = parsed.data;
        if (query.get("dry-run") !== "true") {
            return await publishForOperator(configurationManager, ids, operator, changes, guards);
        }
        const preview = await configurationManager.preview({
            ...parsed.data,
            partner: operator.partner,
            operator: operator.name,
        });
        return preview.map(toJson);
    };

    const showOutcome = async ({ operator, parameters }: OperatorRequest) => {
        const writeId = writeIdSchema.safeParse(parameters["writeId"]);
        return writeId.success
            ? (await configurationManager.outcomeOf(operator.partner, writeId.data)).map(toJson)
            : buildInvalidInput(writeId.error);
    };

    const cancelChange = async ({ operator, parameters }: OperatorRequest) => {
        const writeId = writeIdSchema.safeParse(parameters["writeId"]);
        return writeId.success
            ? (await configurationManager.cancel(operator.partner, writeId.data)).map(toJson)
            : buildInvalidInput(writeId.error);
    };

    const showHistory = async ({ operator, query }: OperatorRequest) => {
        const parsed = historyQuerySchema.safeParse(Object.fromEntries(query));
        if (!parsed.success) {
            return buildInvalidInput(parsed.error);
        }
        const changes = await configurationManager.history(parsed.data.limit);
        return changes.map(list => toJson({ changes: list.map(change => redactChange(operator, change)) }));
    };

    return [
        { method: OperatorMethod.Post, path: "/v1/changes", handle: postChange },
        { method: OperatorMethod.Get, path: "/v1/changes/:writeId", handle: showOutcome },
        { method: OperatorMethod.Post, path: "/v1/changes/:writeId/cancel", handle: cancelChange },
        { method: OperatorMethod.Get, path: "/v1/history", handle: showHistory },
    ];
}
