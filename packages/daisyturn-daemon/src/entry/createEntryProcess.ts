import {
    createClaimRoutes,
    createConfigurationRoutes,
    createIdentityRoutes,
    createOperatorServer,
    defaultRolePlannerSettings,
    type OperatorServer,
    runRolePlanner,
} from "daisyturn";
import { EventKind, type EventLog } from "daisyturn-utils";
import { setMaxListeners } from "node:events";
import type { DaemonSettings } from "../settings/daemonSettings.js";
import { readTlsFiles } from "../settings/readSecret.js";
import { type Base, createBase } from "./createBase.js";
import { type Cell, createCell } from "./createCell.js";
import { createDataPath, type DataPath } from "./createDataPath.js";
import { reportMetrics } from "./createMetricsReporter.js";
import { createOrderRoutes } from "./createOrderRoutes.js";
import { createStatusRoutes } from "./createStatusRoutes.js";
import { type EntryPolicies, StandardPolicies } from "./entryPolicies.js";

/** Ports on which the running process listens. */
export interface EntryAddresses {
    readonly callerPort: number;
    readonly operatorPort: number;
}

/** One entry process. */
export interface EntryProcess {
    /** Joins the cell, adopts the configuration and starts to accept callers. Rejects if the process is stopped before. */
    start(): Promise<EntryAddresses>;
    readonly eventLog: EventLog;
    /** Withdraws readiness, finishes running requests, releases leases and leaves the cell. */
    stop(): Promise<void>;
}

const enginePollMilliseconds = 20;
/** Time for the outcomes of non-idempotent calls to reach the store. */
const claimDrainMilliseconds = 5_000;
/** Time for background tasks to end after the last request. The release of a lease may wait for the store. */
const taskEndTimeoutMilliseconds = 5_000;

/** Creates the parts of one entry process and connects them. */
export function createEntryProcess(
    settings: DaemonSettings,
    policies: EntryPolicies = new StandardPolicies(settings.cell.planRoles),
): EntryProcess {
    const base = createBase(settings);
    const cell = createCell(settings, base);
    const data = createDataPath(settings, policies, base, cell);
    const background = new AbortController();
    // Every background task listens to this signal, so Node.js's leak warning above ten listeners does not apply.
    setMaxListeners(0, background.signal);
    const tasks: Promise<void>[] = [];
    const opening = new AbortController();
    let isAccepting = false;
    const membershipStop = new AbortController();
    let membershipTask: Promise<void> | undefined;
    let operatorServer: OperatorServer | undefined;

    const start = async () => {
        base.eventLog.record(EventKind.ProcessStarted, { zone: base.self.availabilityZone, vm: base.self.vmId });
        await cell.network.start();
        membershipTask = cell.membership.run(membershipStop.signal);
        tasks.push(...startObserving(cell, data, background.signal));
        await cell.configurationManager.adopt(background.signal);
        tasks.push(...startControl(cell, background.signal));
        tasks.push(reportMetrics(base.metrics, base.clock, cell, data, background.signal));
        tasks.push(startRolePlanner(policies, base, cell, data, background.signal));
        operatorServer = await startOperatorServer(settings, base, cell, data, opening.signal);
        await waitForEngines(base, data, background.signal);
        const { port } = await data.callerServer.start(opening.signal);
        isAccepting = true;
        base.eventLog.record(EventKind.ProcessReady, { generation: cell.configurationManager.current().generation });
        return { callerPort: port, operatorPort: operatorServer.port };
    };

    const drainCallers = async (deadline: number) => {
        await Promise.all([data.callerServer.drain(deadline), cell.tunnels.drain(deadline)]);
        // Peers take leaving the cell as proof that this process sends nothing more, so claims are drained first.
        await data.claims.drain(base.clock.monotonicNow() + claimDrainMilliseconds);
    };

    const stop = async () => {
        opening.abort();
        const drainDeadline = base.clock.monotonicNow() + settings.callers.drainMilliseconds;
        await (isAccepting ? drainCallers(drainDeadline) : cell.tunnels.drain(drainDeadline));
        await operatorServer?.close();
        background.abort();
        if (await waitForEnd(base, tasks)) {
            // For the same reason, the process does not leave the cell while a task may still send.
            membershipStop.abort();
            await waitForEnd(base, [membershipTask]);
        }
        await cell.network.stop();
        await data.callerServer.stop();
        await base.platform.close();
        base.eventLog.record(EventKind.ProcessStopped);
        await base.metrics.close();
        base.logWriter.flush();
    };

    return { eventLog: base.eventLog, start, stop };
}

function startObserving(cell: Cell, data: DataPath, signal: AbortSignal): Promise<void>[] {
    return [
        cell.serviceGuard.run(signal),
        cell.vmWatch.run(signal),
        data.loadView.run(signal),
        data.admission.run(signal),
        data.claimPruner.run(signal),
    ];
}

function startControl(cell: Cell, signal: AbortSignal): Promise<void>[] {
    return [cell.configurationManager.run(signal), cell.leaseManager.run(signal), cell.controller.run(signal)];
}

async function startRolePlanner(
    policies: EntryPolicies,
    base: Base,
    cell: Cell,
    data: DataPath,
    signal: AbortSignal,
): Promise<void> {
    const planning = policies.createRolePlanning(base.clock);
    if (planning) {
        await runRolePlanner({
            planning,
            meter: data.meter,
            loadView: data.loadView,
            configurationManager: cell.configurationManager,
            leaseManager: cell.leaseManager,
            controller: cell.controller,
            clock: base.clock,
            eventLog: base.eventLog,
            intervalMilliseconds: defaultRolePlannerSettings.intervalMilliseconds,
        }, signal);
    }
}

function startOperatorServer(
    settings: DaemonSettings,
    base: Base,
    cell: Cell,
    data: DataPath,
    signal: AbortSignal,
): Promise<OperatorServer> {
    const { self, ids, clock, eventLog } = base;
    const routes = [
        ...createConfigurationRoutes({
            configurationManager: cell.configurationManager,
            membership: cell.membership,
            self,
            ids,
            clock,
        }),
        ...createOrderRoutes({ commands: cell.orderCommands, loadView: data.loadView }),
        ...createClaimRoutes(data.claims),
        ...createIdentityRoutes(),
        ...createStatusRoutes(base, cell, data),
    ];
    const { listen, keys, tls } = settings.operators;
    return createOperatorServer({
        listen,
        tls: tls && readTlsFiles(tls),
        operators: keys,
        routes,
        clock,
        eventLog,
        signal,
    });
}

async function waitForEngines(base: Base, data: DataPath, signal: AbortSignal): Promise<void> {
    while (!data.readiness.isEngineWaitOver() && !signal.aborted) {
        await base.clock.sleepUntil(base.clock.monotonicNow() + enginePollMilliseconds, signal);
    }
}

/**
 * Waits for the tasks and returns whether they ended in time. A task that does not end must not prevent the replacement
 * of the VM; leases and claims that it still holds expire.
 */
async function waitForEnd(base: Base, tasks: readonly (Promise<void> | undefined)[]): Promise<boolean> {
    const ended = new AbortController();
    const deadline = base.clock.monotonicNow() + taskEndTimeoutMilliseconds;
    const all = Promise.all(tasks).then(() => true);
    const limit = base.clock.sleepUntil(deadline, ended.signal).then(() => false);
    const inTime = await Promise.race([all, limit]);
    if (!inTime) {
        base.eventLog.record(EventKind.Fault, {
            reason: "a task did not end within the shutdown time limit; stopping without it",
        });
    }
    ended.abort();
    return inTime;
}
