import { createSeededRandom, type Failure, FailureReason, FakeClock, MemoryEventLog, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import {
    createFaultyTableService,
    type FaultyTableService,
    TableFaultKind,
} from "../../../../ports/faultyTableService.js";
import { EngineStage, type ListedTarget } from "../../../../ports/listedTarget.js";
import { createMemoryTableService } from "../../../../ports/memoryTableService.js";
import { type PeerListing, PeerRegistry, type RegisteredPeer } from "../../../../ports/peerRegistry.js";
import { createCrashEvidence } from "../../../crashes/index.js";
import { createStreamOrigins, createVersionHistory, createVersionRecord } from "../../../origins/index.js";
import { engineService } from "../../__fixtures__/placementBench.js";
import { createLongPrefillTimes } from "../../limits/createLongPrefillTimes.js";
import { createSizeFairness } from "../../limits/createSizeFairness.js";
import { createCallPlacement } from "../../placement/createCallPlacement.js";
import { decidePrompt } from "../../placement/decidePrompt.js";
import { createWindowedRetryBudget, type RetryAllowance } from "../../retries/createWindowedRetryBudget.js";
import { createTargetViews } from "../../views/createTargetViews.js";
import { coordinate, type Coordination } from "../coordinate.js";
import { DatagramChannel, type PeerAddress } from "../peerChannel.js";

/** Counts of what the processes of a fleet have sent. */
export interface SentCounts {
    /** Datagrams within an availability zone. */
    near: number;
    /** Datagrams between availability zones. */
    far: number;
    farBytes: number;
    /** Calls to the registry. */
    registryCalls: number;
    /** Requests to the store that these calls make: one for each page of the table, and one for a new entry. */
    registryRequests: number;
    /** Datagrams by sender. */
    readonly bySender: Map<string, number>;
}

type Link = (from: RegisteredPeer, to: RegisteredPeer) => boolean;

/** The retry budget of the fleets. */
const retryAllowance: RetryAllowance = { ratio: 0.2, windowMilliseconds: 10_000, slack: 176 };
export const maxStateAgeMilliseconds = 1_500;
const portOffset = 7_000;
/** Entries in one page of the registry's table. */
export const rowsPerPage = 50;

/** What a test may set about the processes of a fleet. */
export interface FleetOptions {
    readonly clock?: FakeClock;
    readonly maxStateAgeMilliseconds?: number;
    /** Called when a process starts, with a signal that is aborted when it ends. */
    readonly onStarted?: (self: RegisteredPeer, coordination: Coordination, signal: AbortSignal) => void;
}

/**
 * Creates processes that receive each other's datagrams after a millisecond, unless the test cuts a link, and engines
 * in each zone, which have the software versions in turn.
 */
export function createFleet(
    count: number,
    zones = 1,
    enginesPerZone = 4,
    softwareVersions: readonly string[] = ["v1"],
    {
        clock = new FakeClock(),
        maxStateAgeMilliseconds: maxStateAge = maxStateAgeMilliseconds,
        onStarted,
    }: FleetOptions = {},
) {
    let listedVersions = softwareVersions;
    const listeners = new Map<number, (datagram: Buffer, from: PeerAddress) => void>();
    const registered = new Map<string, RegisteredPeer>();
    const sent: SentCounts = {
        near: 0,
        far: 0,
        farBytes: 0,
        registryCalls: 0,
        registryRequests: 0,
        bySender: new Map(),
    };
    let isConnected: Link = () => true;
    let isRegistryReachable: (peer: RegisteredPeer) => boolean = () => true;
    const stop = new AbortController();
    /** The store of the fleet, which outlasts all processes. */
    const tableService = createMemoryTableService();
    const peers = Array.from({ length: count }, (value, index) => createPeer(index, zones));

    class SharedRegistry extends PeerRegistry {
        override async refresh(self: RegisteredPeer): Promise<Result<PeerListing, Failure>> {
            sent.registryCalls += 1;
            // A test that sets which processes reach the registry does so after their start.
            await Promise.resolve();
            if (!isRegistryReachable(self)) {
                return err(notRun(FailureReason.StoreUnavailable, "the registry is unreachable"));
            }
            sent.registryRequests += Math.max(1, Math.ceil(registered.size / rowsPerPage));
            sent.registryRequests += registered.has(self.peerId) ? 0 : 1;
            registered.set(self.peerId, self);
            return ok({ peers: [...registered.values()], unreadable: 0 });
        }

        override async leave(): Promise<void> {}
    }

    const deliver = async (self: RegisteredPeer, to: PeerAddress, datagram: Buffer) => {
        const receiver = peers[to.port - portOffset];
        if (receiver) {
            countDatagram(sent, self, receiver, datagram);
            await clock.sleepUntil(clock.monotonicNow() + 1);
            if (isConnected(self, receiver)) {
                listeners.get(to.port)?.(datagram, { host: self.host, port: self.port });
            }
        }
    };

    const start = (self: RegisteredPeer, index: number) => {
        class LocalChannel extends DatagramChannel {
            override send(to: PeerAddress, datagram: Buffer): void {
                void deliver(self, to, datagram);
            }

            override onDatagram(listener: (datagram: Buffer, from: PeerAddress) => void): void {
                listeners.set(self.port, listener);
            }
        }
        const eventLog = new MemoryEventLog();
        const views = createTargetViews((...[, text]) => JSON.parse(text) as ListedTarget, clock, eventLog);
        views.targets.replace(createEngines(zones, enginesPerZone, listedVersions));
        const sizeFairness = createSizeFairness();
        const crashEvidence = createCrashEvidence(clock, eventLog);
        const origins = createStreamOrigins(clock);
        const store = createFaultyTableService(tableService, { clock });
        setReachable(store, isRegistryReachable(self));
        const record = createVersionRecord({
            tableService: store.tableService,
            targets: views.targets,
            origins,
            writerId: `${self.peerId}-${index}`,
            clock,
            random: createSeededRandom(index),
        });
        const versions = createVersionHistory(views.targets, record, clock);
        const switchedOff = new Set<never>();
        const placement = createCallPlacement({
            ...views,
            random: createSeededRandom(index),
            availabilityZone: self.availabilityZone,
            switchedOff,
        });
        const longPrefillTimes = createLongPrefillTimes();
        const budget = createWindowedRetryBudget({
            allowance: () => retryAllowance,
            countProcesses: () => coordination.countProcesses(),
            clock,
        });
        /** Fraction of the time in which the process is busy; set by tests. */
        const processor = { utilization: 0.2 };
        const coordination: Coordination = coordinate({
            self,
            registry: new SharedRegistry(),
            channel: new LocalChannel(),
            views,
            sizeFairness,
            crashEvidence,
            origins,
            versions,
            budget,
            random: createSeededRandom(index),
            decideLocally: request => decidePrompt({ placement, longPrefillTimes, switchedOff }, request),
            findService: () => engineService,
            maxStateAgeMilliseconds: () => maxStateAge,
            utilization: () => processor.utilization,
            clock,
            eventLog,
        });
        const ended = new AbortController();
        stop.signal.addEventListener("abort", () => ended.abort());
        coordination.run(ended.signal);
        void record.run(ended.signal);
        onStarted?.(self, coordination, ended.signal);
        return {
            self,
            ...views,
            store,
            coordination,
            processor,
            eventLog,
            sizeFairness,
            crashEvidence,
            origins,
            budget,
            end: () => ended.abort(),
        };
    };

    const processes = peers.map(start);
    return {
        clock,
        processes,
        listeners,
        stop: async () => {
            stop.abort();
            await clock.advance(5_000);
        },
        /** Sets which processes receive datagrams from which others. */
        setLink: (link: Link) => {
            isConnected = link;
        },
        /** Sets which processes reach the registry and the store. */
        setRegistry: (isReachable: (peer: RegisteredPeer) => boolean) => {
            isRegistryReachable = isReachable;
            processes.forEach(({ self, store }) => setReachable(store, isReachable(self)));
        },
        /** Sets the software versions of the engines that processes find listed at their start. */
        setVersions: (versions: readonly string[]) => {
            listedVersions = versions;
        },
        /** Removes all entries from the registry. */
        clearEntries: () => registered.clear(),
        listEntries: () => [...registered.keys()],
        counts: (): SentCounts => ({ ...sent, bySender: new Map(sent.bySender) }),
        /** Lists the processes that coordinate a group according to their own information. */
        listCoordinators: () => processes.filter(({ coordination }) => coordination.isCoordinator()),
        /** Restarts a process under the same name, without any of its state. */
        restart: (index: number) => {
            processes[index]?.end();
            const peer = peers[index];
            if (peer) {
                processes[index] = start(peer, index + count);
            }
        },
    };
}

export type Fleet = ReturnType<typeof createFleet>;
export type FleetProcess = Fleet["processes"][number];

function setReachable(store: FaultyTableService, isReachable: boolean): void {
    store.setDefaultFault(isReachable ? TableFaultKind.None : TableFaultKind.ConnectionRefused);
}

function createPeer(index: number, zones: number): RegisteredPeer {
    return {
        peerId: `entry-${String(index).padStart(3, "0")}`,
        host: `10.0.${Math.floor(index / 250)}.${index % 250}`,
        port: portOffset + index,
        availabilityZone: `zone-${index % zones}`,
        strength: index % 10 === 3 ? 1.35 : 0.324,
    };
}

function countDatagram(sent: SentCounts, from: RegisteredPeer, to: RegisteredPeer, datagram: Buffer): void {
    sent.bySender.set(from.peerId, (sent.bySender.get(from.peerId) ?? 0) + 1);
    if (from.availabilityZone === to.availabilityZone) {
        sent.near += 1;
        return;
    }
    sent.far += 1;
    sent.farBytes += datagram.length;
}

function createEngines(zones: number, perZone: number, softwareVersions: readonly string[]) {
    return Array.from({ length: zones * perZone }, (value, index) => {
        const target: ListedTarget = {
            targetId: `i-${index}`,
            name: `i-${index}`,
            service: engineService.name,
            address: `10.9.0.${index}:80`,
            availabilityZone: `zone-${index % zones}`,
            slots: 24,
            isLeaving: false,
            softwareVersion: softwareVersions[index % softwareVersions.length] ?? "",
            stage: Math.floor(index / zones) % 2 === 0 ? EngineStage.Prefill : EngineStage.Decode,
        };
        return { key: target.targetId, version: 1, text: JSON.stringify(target) };
    });
}
