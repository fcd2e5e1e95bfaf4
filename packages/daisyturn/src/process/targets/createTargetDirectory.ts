import type { Engine } from "../../ports/engine.js";
import type { PlainService } from "../../ports/plainService.js";
import { type Target, TargetKind } from "../../version/configurationItems.js";
import type { ConfigurationManager } from "../configuration/index.js";
import type { TargetDirectory } from "./targetDirectory.js";

export interface TargetDirectoryOptions {
    readonly configurationManager: ConfigurationManager;
    readonly createEngine: (target: Target) => Engine;
    readonly createPlainService: (target: Target) => PlainService;
}

const httpPort = 80;
const httpsPort = 443;

interface Entry<Adapter> {
    readonly url: string;
    readonly adapter: Adapter;
}

/**
 * Creates the directory of targets. An adapter is cached until its target is removed or changes its URL; requests in
 * progress may still complete with an adapter that is no longer cached.
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
        return target && getOrCreateAdapter(engineEntries, target, options.createEngine);
    };

    const plainService = (targetName: string) => {
        const target = findTarget(targetName, TargetKind.PlainService);
        return target && getOrCreateAdapter(serviceEntries, target, options.createPlainService);
    };

    const engines = () =>
        options.configurationManager.current().targets
            .filter(target => target.targetKind === TargetKind.Engine)
            .map(target => getOrCreateAdapter(engineEntries, target, options.createEngine));

    options.configurationManager.onVersion(version => {
        removeAbsent(engineEntries, name => version.findTarget(name) !== undefined);
        removeAbsent(serviceEntries, name => version.findTarget(name) !== undefined);
    });

    const findAddress = (targetName: string) => {
        const target = options.configurationManager.current().findTarget(targetName);
        return target && describeAddress(new URL(target.url));
    };

    return { engine, plainService, engines, findAddress };
}

function describeAddress({ hostname, port, protocol }: URL): string {
    return `${hostname}:${port || (protocol === "https:" ? httpsPort : httpPort)}`;
}

function getOrCreateAdapter<Adapter>(
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

function removeAbsent<Adapter>(entries: Map<string, Entry<Adapter>>, isPresent: (name: string) => boolean): void {
    for (const name of [...entries.keys()].filter(known => !isPresent(known))) {
        entries.delete(name);
    }
}
