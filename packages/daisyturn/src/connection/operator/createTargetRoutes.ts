import { type IdSource, toJson } from "daisyturn-utils";
import type { FleetConfigurationManager } from "../../process/configuration/index.js";
import { ChangeAction, type ItemChange } from "../../version/configurationChange.js";
import { HoldKind, ItemKind } from "../../version/configurationItems.js";
import { holdSchema } from "../../version/itemSchemas.js";
import { buildAnswer, buildInvalidInput, buildNotFound } from "./operatorAnswers.js";
import { type OperatorHandler, OperatorMethod, type OperatorRequest, type OperatorRoutes } from "./operatorRoutes.js";
import { publishForOperator, publishGuardsSchema } from "./publishForOperator.js";

const holdBodySchema = publishGuardsSchema.extend({
    note: holdSchema.shape.note,
    replacement: holdSchema.shape.replacement,
}).strict();

/** Options of {@link createTargetRoutes}. */
export interface TargetRoutesOptions {
    readonly configurationManager: FleetConfigurationManager;
    readonly ids: IdSource;
}

/** Creates the routes that return targets, and that place and lift the operator's own holds on them. */
export function createTargetRoutes({ configurationManager, ids }: TargetRoutesOptions): OperatorRoutes {
    const listTargets = () => {
        const version = configurationManager.current();
        const targets = version.targets.map(target => ({ target, holds: version.holdsOn(target.name) }));
        return buildAnswer({ generation: version.generation, targets: targets.map(toJson) });
    };

    const showTarget = ({ parameters }: OperatorRequest) => {
        const version = configurationManager.current();
        const name = parameters["name"] ?? "";
        const target = version.findTarget(name);
        return target
            ? buildAnswer({ generation: version.generation, target, holds: version.holdsOn(name) })
            : buildNotFound("target");
    };

    /** @param holdKind the kind of hold to place; if absent, the hold is lifted */
    const changeHold = (holdKind: HoldKind | undefined): OperatorHandler => async ({ operator, parameters, body }) => {
        const parsed = holdBodySchema.safeParse(body ?? {});
        if (!parsed.success) {
            return buildInvalidInput(parsed.error);
        }
        const { note, replacement, ...guards } = parsed.data;
        const identity = { kind: ItemKind.Hold as const, partner: operator.partner, name: parameters["name"] ?? "" };
        const details = { ...(note !== undefined && { note }), ...(replacement !== undefined && { replacement }) };
        const change: ItemChange = holdKind
            ? { action: ChangeAction.Put, item: { ...identity, holdKind, ...details } }
            : { action: ChangeAction.Remove, identity };
        return await publishForOperator(configurationManager, ids, operator, [change], guards);
    };

    return [
        { method: OperatorMethod.Get, path: "/v1/targets", handle: listTargets },
        { method: OperatorMethod.Get, path: "/v1/targets/:name", handle: showTarget },
        { method: OperatorMethod.Post, path: "/v1/targets/:name/drain", handle: changeHold(HoldKind.Drain) },
        { method: OperatorMethod.Post, path: "/v1/targets/:name/withdraw", handle: changeHold(HoldKind.Withdraw) },
        { method: OperatorMethod.Post, path: "/v1/targets/:name/replace", handle: changeHold(HoldKind.Replace) },
        { method: OperatorMethod.Post, path: "/v1/targets/:name/resume", handle: changeHold(undefined) },
    ];
}
