import { SystemClock } from "daisyturn-utils";
import { receiveSignals } from "../life/receiveSignals.js";
import { watchUncaughtErrors } from "../life/watchUncaughtErrors.js";
import type { DaemonSettings } from "../settings/daemonSettings.js";
import { untilStopSignal } from "../untilStopSignal.js";
import { createEntryProcess } from "./createEntryProcess.js";
import type { EntryPolicies } from "./entryPolicies.js";

/** Exit code after errors that nothing caught. */
const failureExitCode = 1;

/** Runs an entry process until SIGTERM or SIGINT; prints its URLs once it accepts callers. */
export async function serveEntryProcess(settings: DaemonSettings, policies?: EntryPolicies): Promise<void> {
    const entry = createEntryProcess(settings, policies);
    const broken = new Promise<void>(resolve =>
        watchUncaughtErrors({
            clock: new SystemClock(),
            eventLog: entry.eventLog,
            onPersistent: () => {
                process.exitCode = failureExitCode;
                resolve();
            },
        })
    );
    const stopSignal = Promise.race([untilStopSignal(receiveSignals()), broken]);
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
