import { EnginePhase, EngineRole } from "../../ports/engine.js";
import type { Profile } from "../../version/configurationItems.js";
import type { ConfigurationManager } from "../configuration/index.js";
import type { EngineLoad } from "../load/index.js";

/** Whether an engine can serve a profile, according to its reports and its registration. */
export function canServe(load: EngineLoad, profile: Profile, configurationManager: ConfigurationManager): boolean {
    const state = load.state();
    if (load.phase() !== EnginePhase.Serving || state?.draining) {
        return false;
    }
    const models = state?.models ?? configurationManager.current().findTarget(load.engineId)?.models;
    const hasModel = models === undefined || models.includes(profile.model);
    const hasAdapter = profile.adapter === undefined || state === undefined || state.adapters.includes(profile.adapter);
    return hasModel && hasAdapter;
}

/** Returns the software version of an engine; empty if it has not reported one. */
export function findSoftwareVersion(load: EngineLoad): string {
    return load.state()?.version ?? "";
}

/** Groups engines by their software version. */
export function groupByVersion(engines: readonly EngineLoad[]): readonly (readonly EngineLoad[])[] {
    const groups = new Map<string, EngineLoad[]>();
    for (const load of engines) {
        const version = findSoftwareVersion(load);
        const group = groups.get(version) ?? [];
        group.push(load);
        groups.set(version, group);
    }
    return [...groups.values()];
}

export function isMixed(load: EngineLoad): boolean {
    return load.role() === EngineRole.Mixed;
}

export function isDecode(load: EngineLoad): boolean {
    return load.role() === EngineRole.Decode;
}

/** Whether these engines together can serve a request from prefill to decode. */
export function isComplete(engines: readonly EngineLoad[]): boolean {
    return engines.some(isMixed)
        || engines.some(isDecode) && engines.some(load => load.role() === EngineRole.Prefill);
}
