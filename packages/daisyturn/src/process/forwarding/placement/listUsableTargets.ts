import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { TargetAvailability } from "../targets/createTargetAvailability.js";
import type { TargetContinuity } from "../targets/createTargetContinuity.js";
import type { TargetList } from "../targets/createTargetList.js";
import type { TargetRestriction } from "./callPlacement.js";

/** The parts of {@link listUsableTargets}. */
export interface UsableTargetsParts {
    readonly targets: Pick<TargetList, "open">;
    readonly availability: Pick<TargetAvailability, "check">;
    readonly continuity: Pick<TargetContinuity, "isConfirmed">;
}

/**
 * Lists the targets of a service that may serve a call. Every choice of a target starts from this list. A stream of a
 * version goes on only where the listed incarnation still runs, since the next one may have another version.
 */
export function listUsableTargets(
    { targets, availability, continuity }: UsableTargetsParts,
    service: string,
    { avoid, softwareVersion }: TargetRestriction,
): readonly ListedTarget[] {
    return targets.open(service).filter(target =>
        availability.check(target.targetId) === undefined && !avoid.has(target.targetId)
        && (softwareVersion === undefined
            || (target.softwareVersion === softwareVersion && continuity.isConfirmed(target.targetId)))
    );
}

/** Groups engines by their software version. */
export function groupByVersion(engines: readonly ListedTarget[]): readonly (readonly ListedTarget[])[] {
    const groups = new Map<string, ListedTarget[]>();
    for (const engine of engines) {
        const group = groups.get(engine.softwareVersion) ?? [];
        group.push(engine);
        groups.set(engine.softwareVersion, group);
    }
    return [...groups.values()];
}
