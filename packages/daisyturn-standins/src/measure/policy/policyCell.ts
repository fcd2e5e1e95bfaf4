import {
    type ConfigurationItem,
    type ConfigurationManager,
    type ConfigurationVersion,
    createAdmission,
    createConfigurationVersion,
    createLoadView,
    createRouter,
    type EngineChoice,
    type LoadView,
    type Membership,
    type PeerHandler,
    type PeerMethod,
    PeerNetwork,
    type PlanningRouter,
    type ProcessIdentity,
    type RunningAdmission,
    type TargetGate,
} from "daisyturn";
import {
    type Clock,
    createSeededRandom,
    type Failure,
    FailureReason,
    type JsonObject,
    MemoryEventLog,
    notRun,
} from "daisyturn-utils";
import { err, type Result } from "true-myth/result";
import { countUpTo } from "../requestMix.js";
import type { SteppedEngine } from "./steppedEngine.js";

/** The routing and admission of one entry process, without network connections. */
export interface PolicyProcess {
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly loadView: LoadView;
    readonly router: PlanningRouter;
    readonly admission: RunningAdmission;
    readonly configurationManager: ConfigurationManager;
}

/** Parameters of a simulated cell. */
export interface PolicyCellOptions {
    readonly clock: Clock;
    /** Runs a call after a delay in milliseconds; used to deliver messages between peers. */
    readonly callLater: (milliseconds: number, call: () => void) => void;
    readonly engines: readonly SteppedEngine[];
    readonly processes: number;
    readonly seed: number;
    readonly items: readonly ConfigurationItem[];
    readonly reportIntervalMilliseconds: number;
    readonly exchangeIntervalMilliseconds: number;
    readonly peerDelayMilliseconds: number;
    readonly createChoice?: (processIndex: number) => EngineChoice | undefined;
}

/** The processes of a cell, connected by messages that are delivered with a delay. */
export interface PolicyCell {
    readonly processes: readonly PolicyProcess[];
    /** Number of messages between the processes, and their total size as JSON. */
    readonly traffic: { messages: number; bytes: number; };
    run(signal: AbortSignal): void;
}

const openGate: TargetGate = {
    isOpen: () => true,
    close: () => undefined,
    release: () => undefined,
    enter: () => () => undefined,
    inFlight: () => 0,
};

/** Creates the processes of a cell; their loops start with `run`. */
export function createPolicyCell(options: PolicyCellOptions): PolicyCell {
    const { clock, engines } = options;
    const identities = countUpTo(options.processes).map(index => createIdentity(`p${index}`));
    const handlers = new Map<string, Map<PeerMethod, PeerHandler>>();
    const traffic = { messages: 0, bytes: 0 };
    const configurationManager = createFixedConfigurationManager(options.items);
    const targets = {
        engine: (name: string) => engines.find(engine => engine.engineId === name),
        plainService: () => undefined,
        engines: () => engines,
        findAddress: () => undefined,
    };

    class DelayedNetwork extends PeerNetwork {
        private readonly own = new Map<PeerMethod, PeerHandler>();

        constructor(override readonly self: ProcessIdentity) {
            super();
            handlers.set(self.processId, this.own);
        }

        override request(): Promise<Result<JsonObject, Failure>> {
            return Promise.resolve(err(notRun(FailureReason.PeerUnavailable, "Only notifications are carried.")));
        }

        override notify(to: string, method: PeerMethod, parameters: JsonObject): void {
            const text = JSON.stringify(parameters);
            traffic.messages += 1;
            traffic.bytes += text.length;
            options.callLater(options.peerDelayMilliseconds, () => {
                void handlers.get(to)?.get(method)?.(this.self, JSON.parse(text) as JsonObject);
            });
        }

        override handle(method: PeerMethod, handler: PeerHandler): void {
            this.own.set(method, handler);
        }
    }

    const processes = identities.map((identity, index): PolicyProcess => {
        const network = new DelayedNetwork(identity);
        const membership = createFullMembership(identities.filter(other => other !== identity));
        const common = { clock, eventLog: new MemoryEventLog(), network, membership, configurationManager };
        const loadView = createLoadView({ ...options, ...common, targets });
        const random = createSeededRandom(options.seed * 1_000 + index);
        const choice = options.createChoice?.(index);
        const router = createRouter({ ...common, loadView, gate: openGate, random, choice });
        const admission = createAdmission({ ...common, loadView, router });
        return { network, membership, loadView, router, admission, configurationManager };
    });

    return {
        processes,
        traffic,
        run: signal => {
            // Random start times, because the intervals of real processes are not synchronized.
            const phases = createSeededRandom(options.seed);
            for (const process of processes) {
                options.callLater(phases.fraction() * options.reportIntervalMilliseconds, () => {
                    void process.loadView.run(signal);
                    void process.admission.run(signal);
                });
            }
        },
    };
}

function createIdentity(processId: string): ProcessIdentity {
    return { processId, incarnation: "1", vmId: processId, availabilityZone: "zone-1", peerAddress: processId };
}

function createFullMembership(others: readonly ProcessIdentity[]): Membership {
    return {
        others: () => [],
        livePeers: () => others,
        hasEnded: () => false,
        hasMajorityContact: () => true,
        onChange: () => undefined,
    };
}

function createFixedConfigurationManager(items: readonly ConfigurationItem[]): ConfigurationManager {
    const version: ConfigurationVersion = createConfigurationVersion(1, items);
    const unused = () => Promise.reject(new Error("A measurement's configuration is fixed."));
    return {
        current: () => version,
        adopt: unused,
        run: unused,
        publish: unused,
        history: unused,
        onVersion: () => undefined,
    };
}
