import {
    createIdSource,
    type Failure,
    FailureReason,
    type FakeClock,
    mayHaveRun,
    type MemoryEventLog,
    notRun,
    type Random,
} from "daisyturn-utils";
import { Result } from "true-myth/result";
import type { createFakePeerNetworks } from "../../../__fixtures__/fakePeerNetwork.js";
import { Engine, type EngineOrder, type EngineState, type OrderAnswer } from "../../../ports/engine.js";
import type { TableService } from "../../../ports/tableService.js";
import { WeightStore } from "../../../ports/weightStore.js";
import type { ConfigurationVersion } from "../../../version/configurationVersion.js";
import type { ConfigurationManager } from "../../configuration/index.js";
import { createLeaseManager, type LeaseManager } from "../../lease/index.js";
import { type Membership, MemberState, type ProcessIdentity } from "../../peers/index.js";
import { createStoreClient } from "../../store/index.js";
import { createTargetGate, type TargetGate } from "../../targets/index.js";
import type { Controller } from "../controller.js";
import { createController } from "../createController.js";
import { createOrderCommands, type OrderCommands } from "../createOrderCommands.js";
import type { ControllerSettings } from "../orderContext.js";
import { createOrderRecords } from "../rows/createOrderRecords.js";
import { hostTable } from "./hostTable.js";
import type { OrderedEngine } from "./orderedEngine.js";
import { CallKind, createProcessHost, type ProcessHost } from "./processHost.js";
import { pauseMilliseconds, testCell, testLeaseName } from "./worldConstants.js";

export interface OrderWorldOptions {
    readonly checksFencingNumbers: boolean;
    readonly processCount?: number;
    readonly seed?: number;
    readonly settings?: Partial<ControllerSettings>;
    /** Returns the delay of a call or of its answer, in milliseconds. */
    readonly drawDelay?: () => number;
    /** Time in milliseconds until an accepted configuration is active at a process. */
    readonly configurationLag?: (processName: string) => number;
}

/** Environment shared by the processes of a cell. */
export interface SharedWorld {
    readonly clock: FakeClock;
    readonly engine: OrderedEngine;
    readonly processes: readonly WorldProcess[];
    readonly table: TableService;
    readonly ended: Set<string>;
    readonly peers: ReturnType<typeof createFakePeerNetworks>;
    readonly options: OrderWorldOptions;
    readonly settings: Partial<ControllerSettings>;
    configurationAt(processName: string): ConfigurationVersion;
}

/** A running process of one entry VM. */
export interface WorldProcess {
    readonly identity: ProcessIdentity;
    readonly host: ProcessHost;
    readonly eventLog: MemoryEventLog;
    readonly leaseManager: LeaseManager;
    readonly controller: Controller;
    readonly commands: OrderCommands;
    readonly gate: TargetGate;
    /** Stops it as SIGTERM does. */
    stop(): Promise<void>;
}

/** Times of the lease in the tests. No clock drifts here; the margin serves to detect code that ignores it. */
const leaseTimes = { leaseMilliseconds: 5_000, marginMilliseconds: 500, renewalIntervalMilliseconds: 1_500 };

/** Creates a process in a cell and starts it. */
export function createWorldProcess(
    world: SharedWorld,
    identity: ProcessIdentity,
    random: Random,
    eventLog: MemoryEventLog,
): WorldProcess {
    const host = createProcessHost(world.clock, pauseMilliseconds, world.options.drawDelay);
    const { clock } = host;
    const ids = createIdSource(identity.incarnation);
    const peerNetwork = world.peers.join(identity);
    const membership = createWorldMembership(world, identity);
    const configurationManager = createWorldConfiguration(world, identity.processId);
    const storeClient = createStoreClient({
        tableService: hostTable(host, world.table),
        clock,
        random,
        eventLog,
        writesPerSecond: 1_000,
        readsPerSecond: 1_000,
    });
    const leaseManager = createLeaseManager({
        name: testLeaseName,
        self: identity,
        storeClient,
        clock,
        random,
        ids,
        eventLog,
        ...leaseTimes,
    });
    const records = createOrderRecords({ cell: testCell, storeClient, clock, ids });
    const commands = createOrderCommands({
        records,
        leaseName: testLeaseName,
        storeClient,
        membership,
        configurationManager,
        clock,
    });
    const gate = createTargetGate({
        configurationManager,
        peerNetwork,
        clock,
        isVmLeaving: () => false,
        isInService: () => true,
    });
    const engine = hostEngine(host, world.engine, () => leaseManager.current() !== undefined);
    const controller = createController({
        self: identity,
        leaseManager,
        records,
        commands,
        peerNetwork,
        membership,
        configurationManager,
        targetDirectory: {
            engine: name => name === engine.engineId ? engine : undefined,
            plainService: () => undefined,
            engines: () => [engine],
            findAddress: () => undefined,
        },
        targetGate: gate,
        weightStore: createGrantingWeightStore(),
        clock,
        ids,
        eventLog,
        settings: world.settings,
    });
    const stopper = new AbortController();
    const running = Promise.all([leaseManager.run(stopper.signal), controller.run(stopper.signal)]);
    const stop = async () => {
        stopper.abort();
        await running;
    };
    return { identity, host, eventLog, leaseManager, controller, commands, gate, stop };
}

function createWorldMembership(world: SharedWorld, self: ProcessIdentity): Membership {
    const others = () => world.processes.filter(one => one.identity.incarnation !== self.incarnation);
    return {
        others: () => others().map(one => ({ identity: one.identity, state: MemberState.Alive })),
        livePeers: () => others().filter(one => !one.host.isDead() && !one.host.isPaused()).map(one => one.identity),
        hasEnded: identity => world.ended.has(identity.incarnation),
        hasMajorityContact: () => true,
        onChange: () => undefined,
    };
}

function createWorldConfiguration(world: SharedWorld, processName: string): ConfigurationManager {
    return {
        current: () => world.configurationAt(processName),
        adopt: () => Promise.resolve(),
        run: () => Promise.resolve(),
        publish: () => Promise.reject(new Error("not supported by this fixture")),
        history: () => Promise.reject(new Error("not supported by this fixture")),
        onVersion: () => undefined,
    };
}

function hostEngine(host: ProcessHost, ordered: OrderedEngine, holdsLease: () => boolean): Engine {
    const unknown = <T>() => Result.err<T, Failure>(mayHaveRun(FailureReason.TargetFailed, "no answer"));
    const notSent = <T>() => Result.err<T, Failure>(notRun(FailureReason.NoTarget, "not sent"));
    const unused = () => Promise.reject(new Error("not supported by this fixture"));

    class HostedEngine extends Engine {
        override readonly engineId = ordered.engineId;

        override order(order: EngineOrder): Promise<Result<OrderAnswer, Failure>> {
            if (!holdsLease()) {
                ordered.recordViolation(`${order.orderId} is sent by a process that knows that its lease has expired`);
            }
            const run = () => Promise.resolve(Result.ok<OrderAnswer, Failure>(ordered.order(order)));
            return host.call(CallKind.EngineOrder, run, { unknown: unknown(), notSent: notSent() });
        }

        override readState(): Promise<Result<EngineState, Failure>> {
            const run = () => Promise.resolve(Result.ok<EngineState, Failure>(ordered.state()));
            return host.call(CallKind.EngineState, run, { unknown: unknown(), notSent: notSent() });
        }

        override generate = unused;
        override resume = unused;
        override cancel = unused;
        override readLoad = unused;
        override readCacheEvents = unused;
    }
    return new HostedEngine();
}

function createGrantingWeightStore(): WeightStore {
    class GrantingWeightStore extends WeightStore {
        override requestLoad() {
            return Promise.resolve(Result.ok<{ grantId: string; validUntil: number; }, Failure>({
                grantId: "grant",
                validUntil: Infinity,
            }));
        }
    }
    return new GrantingWeightStore();
}
