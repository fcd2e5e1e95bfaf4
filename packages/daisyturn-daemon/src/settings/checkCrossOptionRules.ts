import type { z } from "zod";
import type { DaemonSettings } from "./settingsSections.js";

const wildcardAddresses = new Set(["0.0.0.0", "::"]);
const listenerSections = ["callers", "peers", "operators"] as const;

type Report = (path: readonly (string | number)[], message: string) => void;

/** Checks the rules that involve several options. */
export function checkCrossOptionRules(settings: DaemonSettings, context: z.RefinementCtx): void {
    const report: Report = (path, message) => context.addIssue({ code: "custom", path: [...path], message });
    checkPorts(settings, report);
    checkAdvertised(settings, report);
    checkOperators(settings, report);
}

function checkPorts(settings: DaemonSettings, report: Report): void {
    const sectionsByPort = new Map<number, string>();
    for (const section of listenerSections) {
        const { port } = settings[section].listen;
        const other = sectionsByPort.get(port);
        if (port !== 0 && other !== undefined) {
            report([section, "listen", "port"], `is the port of ${other}.listen already`);
        }
        sectionsByPort.set(port, section);
    }
}

function checkAdvertised({ peers }: DaemonSettings, report: Report): void {
    if (wildcardAddresses.has(peers.listen.host) && peers.advertise === undefined) {
        report(["peers", "advertise"], "is needed where the listener takes every address of the VM");
    }
    if (peers.listen.port === 0 && peers.advertise === undefined) {
        report(["peers", "listen", "port"], "must be fixed, because the other processes have to know it");
    }
}

function checkOperators({ operators }: DaemonSettings, report: Report): void {
    const names = new Set<string>();
    const hashes = new Set<string>();
    for (const [index, { partner, name, keyHash }] of operators.keys.entries()) {
        const fullName = JSON.stringify([partner, name]);
        if (names.has(fullName)) {
            report(["operators", "keys", index, "name"], "stands twice for this partner");
        }
        if (hashes.has(keyHash)) {
            report(["operators", "keys", index, "keyHash"], "is the hash of another operator's key");
        }
        names.add(fullName);
        hashes.add(keyHash);
    }
}
