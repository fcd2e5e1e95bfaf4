import { EngineRole, OrderKind } from "../../../ports/engine.js";
import { type Hold, HoldKind, TargetKind } from "../../../version/configurationItems.js";
import type { ConfigurationVersion } from "../../../version/configurationVersion.js";
import type { ChangeGoal } from "../rows/orderRows.js";

/** A change proposed by a partner or the role planner for one engine. */
export interface ProposedChange extends ChangeGoal {
    readonly engineId: string;
    /** Absent for the role planner. */
    readonly partner?: string;
}

/**
 * Returns the reason why a change must be refused, or undefined if it is allowed. A hold reserves the engine for the
 * partner that set it, so changes by others are refused. A partner may change an engine while its own drain is active,
 * but not while its own withdrawal or replacement is.
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
