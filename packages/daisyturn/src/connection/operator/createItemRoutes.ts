import { type IdSource, toJson } from "daisyturn-utils";
import { z } from "zod";
import type { FleetConfigurationManager } from "../../process/configuration/index.js";
import { ChangeAction } from "../../version/configurationChange.js";
import { formatItemIdentity, type ItemIdentity, ItemKind } from "../../version/configurationItems.js";
import { identitySchema, itemSchema } from "../../version/itemSchemas.js";
import { canViewItem, listSortedItems } from "./itemVisibility.js";
import { buildAnswer, buildBadRequest, buildInvalidInput, buildNotFound } from "./operatorAnswers.js";
import { OperatorMethod, type OperatorRequest, type OperatorRoutes } from "./operatorRoutes.js";
import { publishForOperator, readGuards } from "./publishForOperator.js";

const defaultPageSize = 200;
const maxPageSize = 1_000;

const listQuerySchema = z.object({
    kind: z.enum(ItemKind).optional(),
    /** Value of `next` from the previous page. */
    after: z.string().default(""),
    limit: z.coerce.number().int().min(1).max(maxPageSize).default(defaultPageSize),
});

/** Options of {@link createItemRoutes}. */
export interface ItemRoutesOptions {
    readonly configurationManager: FleetConfigurationManager;
    readonly ids: IdSource;
}

/** Creates the routes that list, return, write and remove single items. */
export function createItemRoutes({ configurationManager, ids }: ItemRoutesOptions): OperatorRoutes {
    const listItems = ({ operator, query }: OperatorRequest) => {
        const parsed = listQuerySchema.safeParse(Object.fromEntries(query));
        if (!parsed.success) {
            return buildInvalidInput(parsed.error);
        }
        const { kind, after, limit } = parsed.data;
        const version = configurationManager.current();
        const found = listSortedItems(version).filter(item =>
            canViewItem(operator, item) && (kind === undefined || item.kind === kind)
            && formatItemIdentity(item) > after
        );
        const page = found.slice(0, limit);
        const last = found.length > limit ? page.at(-1) : undefined;
        return buildAnswer({
            generation: version.generation,
            items: page.map(toJson),
            ...(last && { next: formatItemIdentity(last) }),
        });
    };

    const showItem = ({ operator, parameters, query }: OperatorRequest) => {
        const identity = identitySchema.safeParse({ partner: query.get("partner") ?? operator.partner, ...parameters });
        const isShown = identity.success && canViewItem(operator, identity.data);
        const version = configurationManager.current();
        const item = isShown ? version.findItem(identity.data) : undefined;
        return item ? buildAnswer({ generation: version.generation, item }) : buildNotFound("item");
    };

    const putItem = async ({ operator, parameters, query, body }: OperatorRequest) => {
        const named = { ...parameters, partner: operator.partner };
        // The path names the item. A body that names another item is refused rather than overridden.
        const item = itemSchema.safeParse({ ...named, ...(body instanceof Object ? body : {}) });
        const guards = readGuards(query);
        if (!item.success || !guards.success) {
            return buildInvalidInput((item.error ?? guards.error) as z.ZodError);
        }
        if (formatItemIdentity(item.data) !== formatItemIdentity(named as unknown as ItemIdentity)) {
            return buildBadRequest("the body names another item than the path");
        }
        const changes = [{ action: ChangeAction.Put as const, item: item.data }];
        return await publishForOperator(configurationManager, ids, operator, changes, guards.data);
    };

    const removeItem = async ({ operator, parameters, query }: OperatorRequest) => {
        const identity = identitySchema.safeParse({ ...parameters, partner: operator.partner });
        const guards = readGuards(query);
        if (!identity.success || !guards.success) {
            return buildInvalidInput((identity.error ?? guards.error) as z.ZodError);
        }
        const changes = [{ action: ChangeAction.Remove as const, identity: identity.data }];
        return await publishForOperator(configurationManager, ids, operator, changes, guards.data);
    };

    return [
        { method: OperatorMethod.Get, path: "/v1/items", handle: listItems },
        { method: OperatorMethod.Get, path: "/v1/items/:kind/:name", handle: showItem },
        { method: OperatorMethod.Put, path: "/v1/items/:kind/:name", handle: putItem },
        { method: OperatorMethod.Delete, path: "/v1/items/:kind/:name", handle: removeItem },
    ];
}
