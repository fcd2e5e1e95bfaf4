import { EngineRole, OrderKind } from "../../../ports/engine.js";
import { type Hold, HoldKind, TargetKind } from "../../../version/configurationItems.js";
import type { ConfigurationVersion } from "../../../version/configurationVersion.js";
import type { ChangeGoal } from "../rows/orderRows.js";

/** Who wants what of which engine. */
export interface ChangeWish extends ChangeGoal {
    readonly engineId: string;
    /** Absent for the role planner. */
    readonly partner?: string;
}

/**
 * Tells why a change must not be made, or undefined if it may. A partner's hold is that partner's choice, and an order
 * by anybody else would act on an engine that it has set aside. Its own drain leaves it free to change the engine
 * meanwhile; its own withdrawal or replacement does not.
 */
export function judgeChangeGoal(wish: ChangeWish, version: ConfigurationVersion): string | undefined {
    const target = version.findTarget(wish.engineId);
    if (target?.targetKind !== TargetKind.Engine) {
        return `no engine ${wish.engineId} is registered`;
    }
    const missing = findMissingPart(wish);
    if (missing) {
        return missing;
    }
    if (wish.role && !(target.allowedRoles ?? Object.values(EngineRole)).includes(wish.role)) {
        return `${target.partner} does not allow the role ${wish.role} for ${target.name}`;
    }
    const hold = version.holdsOn(wish.engineId).find(one => !permits(one, wish));
    return hold && `${hold.partner} holds ${wish.engineId} (${hold.holdKind})`;
}

function findMissingPart(wish: ChangeWish): string | undefined {
    if (wish.kind === OrderKind.ChangeRole) {
        return wish.role ? undefined : "a role change needs a role";
    }
    return wish.artifact ? undefined : "a load needs the name of what is to be loaded";
}

function permits(hold: Hold, wish: ChangeWish): boolean {
    return hold.partner === wish.partner && hold.holdKind === HoldKind.Drain;
}
