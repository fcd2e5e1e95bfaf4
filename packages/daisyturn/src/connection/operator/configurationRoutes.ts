import { type Clock, type IdSource, toJson } from "daisyturn-utils";
import type { FleetConfigurationManager } from "../../process/configuration/index.js";
import type { Membership, ProcessIdentity } from "../../process/peers/index.js";
import { createChangeRoutes } from "./createChangeRoutes.js";
import { createItemRoutes } from "./createItemRoutes.js";
import { createRetirementRoutes } from "./createRetirementRoutes.js";
import { createTargetRoutes } from "./createTargetRoutes.js";
import { buildAnswer } from "./operatorAnswers.js";
import { OperatorMethod, type OperatorRoutes } from "./operatorRoutes.js";

/** Options of {@link createConfigurationRoutes}. */
export interface ConfigurationRoutesOptions {
    readonly configurationManager: FleetConfigurationManager;
    readonly membership: Membership;
    readonly self: ProcessIdentity;
    readonly ids: IdSource;
    readonly clock: Clock;
}

/** All routes for the configuration: items, changes, targets and holds, retirements, and the fleet's generations. */
export function createConfigurationRoutes(options: ConfigurationRoutesOptions): OperatorRoutes {
    return [
        ...createItemRoutes(options),
        ...createChangeRoutes(options),
        ...createTargetRoutes(options),
        ...createRetirementRoutes(options),
        { method: OperatorMethod.Get, path: "/v1/fleet", handle: () => showFleet(options) },
    ];
}

async function showFleet({ configurationManager, membership, self }: ConfigurationRoutesOptions) {
    const usage = await configurationManager.usage();
    return buildAnswer({
        self: toJson(self),
        generation: configurationManager.current().generation,
        members: membership.others().map(toJson),
        processes: usage.map(toJson),
    });
}
