import { type Clock, EventKind, type EventLog, type IdSource } from "daisyturn-utils";
import { type EngineRole, OrderKind } from "../../ports/engine.js";
import type { WeightStore } from "../../ports/weightStore.js";
import type { ConfigurationManager } from "../configuration/index.js";
import type { LeaseManager } from "../lease/index.js";
import type { Membership, PeerNetwork, ProcessIdentity } from "../peers/index.js";
import type { TargetDirectory, TargetGate } from "../targets/index.js";
import type { ChangeUnderWay, Controller } from "./controller.js";
import { type ControllerTenure, createControllerTenure } from "./controllerTenure.js";
import type { OrderCommands } from "./createOrderCommands.js";
import { type ControllerSettings, defaultControllerSettings, type OrderContext } from "./orderContext.js";
import type { OrderOverview, OrderRecords } from "./rows/createOrderRecords.js";
import { type EngineOrders, isOrderOpen } from "./rows/orderRows.js";
import { publishCallStatuses } from "./rows/publishCallStatuses.js";
import { createOrderSender } from "./sending/createOrderSender.js";
import { serveEngine } from "./serveEngine.js";
import { chooseRequests, isLoad } from "./steps/chooseRequests.js";
import { createChangeDriver } from "./steps/createChangeDriver.js";
import { createEngineQuiescer } from "./steps/createEngineQuiescer.js";

export interface ControllerOptions {
    readonly self: ProcessIdentity;
    readonly leaseManager: LeaseManager;
    readonly records: OrderRecords;
    readonly commands: OrderCommands;
    readonly peerNetwork: PeerNetwork;
    readonly membership: Membership;
    readonly configurationManager: ConfigurationManager;
    readonly targetDirectory: TargetDirectory;
    readonly targetGate: TargetGate;
    readonly weightStore: WeightStore;
    readonly clock: Clock;
    readonly ids: IdSource;
    readonly eventLog: EventLog;
    readonly settings?: Partial<ControllerSettings>;
}

/** Interval at which a process without the lease checks whether it holds it. */
const idleIntervalMilliseconds = 100;

/** Creates the controller of one process; it does nothing before `run`. */
export function createController(options: ControllerOptions): Controller {
    const { leaseManager, records, clock, eventLog } = options;
    const settings = { ...defaultControllerSettings, ...options.settings };
    const vouched = new Set<string>();
    const startedLoads = new Map<string | undefined, number>();
    let changesUnderWay: readonly ChangeUnderWay[] = [];
    let tenureEnd: AbortController | undefined;
    let work: Promise<void> = Promise.resolve();

    const context: OrderContext = {
        ...options,
        settings,
        sender: createOrderSender(clock, settings.callLimitMilliseconds),
        quiescer: createEngineQuiescer(options),
        isVouched: incarnation => vouched.has(incarnation),
    };
    const driver = createChangeDriver(context);

    const run = async (signal: AbortSignal) => {
        const publishingEnd = new AbortController();
        signal.addEventListener("abort", () => {
            tenureEnd?.abort();
            void endPublishing(publishingEnd);
        }, { once: true });
        while (!signal.aborted) {
            const lease = leaseManager.current();
            if (lease) {
                tenureEnd = new AbortController();
                work = runTenure(createControllerTenure(lease, tenureEnd.signal), publishingEnd.signal);
                await work;
            }
            await clock.sleepUntil(clock.monotonicNow() + idleIntervalMilliseconds, signal);
        }
        publishingEnd.abort();
    };

    /** Works until the tenure is over, then publishes the call statuses of its orders. */
    const runTenure = async (tenure: ControllerTenure, publishingSignal: AbortSignal) => {
        const tasks = new Map<string, Promise<void>>();
        while (!tenure.isOver()) {
            const overview = await records.readAll(clock.monotonicNow() + settings.callLimitMilliseconds);
            if (overview.isOk && !tenure.isOver()) {
                applyOverview(overview.value);
                startTasks(tenure, tasks, overview.value);
            }
            await clock.sleepUntil(clock.monotonicNow() + settings.overviewIntervalMilliseconds, tenure.signal);
        }
        changesUnderWay = [];
        context.quiescer.clear();
        await Promise.all(tasks.values());
        await publishCallStatuses(context, publishingSignal);
    };

    /**
     * Ends the publishing of call statuses after one call limit when the process stops. While the process continues to
     * run without the lease, publishing is not limited in time.
     */
    const endPublishing = async (publishingEnd: AbortController) => {
        await clock.sleepUntil(clock.monotonicNow() + settings.callLimitMilliseconds, publishingEnd.signal);
        publishingEnd.abort();
    };

    const applyOverview = (overview: OrderOverview) => {
        overview.vouches.forEach(vouch => vouched.add(vouch.incarnation));
        changesUnderWay = overview.orders.flatMap(describeUnderWay);
    };

    const startTasks = (tenure: ControllerTenure, tasks: Map<string, Promise<void>>, overview: OrderOverview) => {
        // Unfinished changes come first and are not limited, since their engines may be out of service.
        const unfinished = overview.orders.filter(isUnfinished).map(orders => orders.engineId);
        const chosen = chooseRequests(overview.requests, {
            busyEngines: new Set([...tasks.keys(), ...unfinished]),
            freeChanges: settings.maxConcurrentChanges - unfinished.length,
            freeLoads: settings.maxConcurrentLoads - changesUnderWay.filter(isLoadUnderWay).length,
        }, loadShares);
        chosen.filter(isLoad).forEach(({ partner }) => startedLoads.set(partner, loadShares.started(partner) + 1));
        for (const engineId of [...unfinished, ...chosen.map(request => request.engineId)]) {
            if (!tasks.has(engineId)) {
                tasks.set(engineId, runTask(tenure, engineId).finally(() => tasks.delete(engineId)));
            }
        }
    };

    const runTask = async (tenure: ControllerTenure, engineId: string) => {
        try {
            await serveEngine(context, driver, tenure, engineId);
        }
        catch (error) {
            // For example, a row that can't be parsed. Other engines are not affected, and this one is retried.
            eventLog.record(EventKind.Fault, { engine: engineId, reason: String(error) });
        }
    };

    const loadShares = {
        started: (partner: string | undefined) => startedLoads.get(partner) ?? 0,
        weight: (partner: string | undefined) =>
            partner === undefined ? 1 : options.configurationManager.current().shareWeight(partner),
    };

    leaseManager.onLost(() => tenureEnd?.abort());
    leaseManager.beforeRelease(() => work);

    return {
        run,
        requestRoleChange: (engineId: string, role: EngineRole) =>
            options.commands.requestOrder({
                requestId: options.ids.next("req"),
                engineId,
                kind: OrderKind.ChangeRole,
                role,
            }),
        changesUnderWay: () => changesUnderWay,
    };
}

function isUnfinished(orders: EngineOrders): boolean {
    return orders.change !== undefined || orders.doubtful !== undefined || isOrderOpen(orders.last);
}

function isLoadUnderWay(change: ChangeUnderWay): boolean {
    return change.kind !== OrderKind.ChangeRole;
}

function describeUnderWay({ engineId, change, withheld }: EngineOrders): readonly ChangeUnderWay[] {
    return change ? [{ engineId, kind: change.kind, role: change.role, withheld }] : [];
}
