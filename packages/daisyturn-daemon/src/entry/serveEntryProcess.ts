import { receiveSignals } from "../life/receiveSignals.js";
import type { DaemonSettings } from "../settings/daemonSettings.js";
import { untilStopSignal } from "../untilStopSignal.js";
import { createEntryProcess } from "./createEntryProcess.js";
import type { EntryPolicies } from "./entryPolicies.js";

/** Runs an entry process until SIGTERM or SIGINT; prints its URLs once it accepts callers. */
export async function serveEntryProcess(settings: DaemonSettings, policies?: EntryPolicies): Promise<void> {
    const entry = createEntryProcess(settings, policies);
    const stopSignal = untilStopSignal(receiveSignals());
    const addresses = await Promise.race([entry.start(), stopSignal]);
    if (addresses) {
        const callers = formatUrl(settings.callers, addresses.callerPort);
        const operators = formatUrl(settings.operators, addresses.operatorPort);
        process.stdout.write(`listening callers=${callers} operators=${operators}\n`);
    }
    await stopSignal;
    await entry.stop();
}

type ListenerSection = DaemonSettings["callers"] | DaemonSettings["operators"];

function formatUrl({ listen, tls }: ListenerSection, port: number): string {
    const host = listen.host.includes(":") ? `[${listen.host}]` : listen.host;
    return `${tls ? "https" : "http"}://${host}:${port}`;
}
