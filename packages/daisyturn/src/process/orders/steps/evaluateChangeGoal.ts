import { EngineRole, OrderKind } from "../../../ports/engine.js";
import { type Hold, HoldKind, TargetKind } from "../../../version/configurationItems.js";
import type { ConfigurationVersion } from "../../../version/configurationVersion.js";
import type { ChangeGoal } from "../rows/orderRows.js";

/** Who wants what of which engine. */
export interface ProposedChange extends ChangeGoal {
    readonly engineId: string;
    /** Absent for the role planner. */
    readonly partner?: string;
}

/**
 * Tells why a change must not be made, or undefined if it may. A partner's hold is that partner's choice, and an order
 * by anybody else would act on an engine that it has set aside. Its own drain leaves it free to change the engine
 * meanwhile; its own withdrawal or replacement does not.
 */
export function evaluateChangeGoal(change: ProposedChange, version: ConfigurationVersion): string | undefined {
    const target = version.findTarget(change.engineId);
    if (target?.targetKind !== TargetKind.Engine) {
        return `no engine ${change.engineId} is registered`;
    }
    const missing = findMissingParameter(change);
    if (missing) {
        return missing;
    }
    if (change.role && !(target.allowedRoles ?? Object.values(EngineRole)).includes(change.role)) {
        return `${target.partner} does not allow the role ${change.role} for ${target.name}`;
    }
    const hold = version.holdsOn(change.engineId).find(one => !allowsChange(one, change));
    return hold && `${hold.partner} holds ${change.engineId} (${hold.holdKind})`;
}

function findMissingParameter(change: ProposedChange): string | undefined {
    if (change.kind === OrderKind.ChangeRole) {
        return change.role ? undefined : "a role change needs a role";
    }
    return change.artifact ? undefined : "a load needs the name of what is to be loaded";
}

function allowsChange(hold: Hold, change: ProposedChange): boolean {
    return hold.partner === change.partner && hold.holdKind === HoldKind.Drain;
}
