import type { Engine } from "../../ports/engine.js";
import type { PlainService } from "../../ports/plainService.js";
import { type Target, TargetKind } from "../../version/configurationItems.js";
import type { ConfigurationManager } from "../configuration/index.js";
import type { TargetDirectory } from "./targetDirectory.js";

/** Makes the adapters that the directory hands out. */
export interface TargetDirectoryOptions {
    readonly configurationManager: ConfigurationManager;
    readonly createEngine: (target: Target) => Engine;
    readonly createPlainService: (target: Target) => PlainService;
}

interface Entry<Adapter> {
    readonly url: string;
    readonly adapter: Adapter;
}

/**
 * Creates the directory of targets. An adapter lives as long as its target keeps its URL; a request that holds the
 * adapter of a target that has left may finish with it.
 */
export function createTargetDirectory(options: TargetDirectoryOptions): TargetDirectory {
    const engineEntries = new Map<string, Entry<Engine>>();
    const serviceEntries = new Map<string, Entry<PlainService>>();

    const findTarget = (targetName: string, kind: TargetKind) => {
        const target = options.configurationManager.current().findTarget(targetName);
        return target?.targetKind === kind ? target : undefined;
    };

    const engine = (targetName: string) => {
        const target = findTarget(targetName, TargetKind.Engine);
        return target && ensureEntry(engineEntries, target, options.createEngine);
    };

    const plainService = (targetName: string) => {
        const target = findTarget(targetName, TargetKind.PlainService);
        return target && ensureEntry(serviceEntries, target, options.createPlainService);
    };

    const engines = () =>
        options.configurationManager.current().targets
            .filter(target => target.targetKind === TargetKind.Engine)
            .map(target => ensureEntry(engineEntries, target, options.createEngine));

    options.configurationManager.onVersion(version => {
        forgetAbsent(engineEntries, name => version.findTarget(name) !== undefined);
        forgetAbsent(serviceEntries, name => version.findTarget(name) !== undefined);
    });

    return { engine, plainService, engines };
}

function ensureEntry<Adapter>(
    entries: Map<string, Entry<Adapter>>,
    target: Target,
    createAdapter: (target: Target) => Adapter,
): Adapter {
    const known = entries.get(target.name);
    if (known?.url === target.url) {
        return known.adapter;
    }
    const adapter = createAdapter(target);
    entries.set(target.name, { url: target.url, adapter });
    return adapter;
}

function forgetAbsent<Adapter>(entries: Map<string, Entry<Adapter>>, isPresent: (name: string) => boolean): void {
    for (const name of [...entries.keys()].filter(known => !isPresent(known))) {
        entries.delete(name);
    }
}
