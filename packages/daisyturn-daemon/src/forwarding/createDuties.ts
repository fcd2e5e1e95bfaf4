import { type Clock, createIdSource, type EventLog, type Random } from "daisyturn-utils";
import {
    type Coordination,
    createDutyHolder,
    createLeaseManager,
    createStoreClient,
    createUsageExchange,
    createUsageReporter,
    type DutyAnswer,
    type DutyCalls,
    dutyLeaseMarginMilliseconds,
    dutyRenewalMilliseconds,
} from "daisyturn/forwarding";
import type { ForwardingProcessParts } from "./createForwardingParts.js";
import type { ForwardingAdapters } from "./forwardingAdapters.js";
import type { ForwardingSettings } from "./forwardingSettings.js";

/** What {@link createDuties} needs. */
export interface DutiesOptions {
    readonly settings: ForwardingSettings;
    readonly adapters: ForwardingAdapters;
    readonly parts: Pick<ForwardingProcessParts, "links">;
    readonly incarnation: string;
    readonly coordination: Pick<Coordination, "isLeaseCoordinator" | "mayKeepLease" | "peers">;
    readonly onReported: (answer: DutyAnswer) => void;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
}

/** The part of this process in the duties of the fleet. */
export interface Duties {
    readonly calls: DutyCalls;
    /** Counts a call of a client account that began to run; undefined if usage is not reported. */
    readonly recordUsage?: (account: string, beganAt: number) => void;
    /** Starts the part; it takes part in the exchange of counts until the signal is aborted. */
    start(signal: AbortSignal): void;
    /** Ends the calls and releases the lease. The deadline (monotonic) is that of the process. */
    stop(deadline: number): Promise<void>;
    /** Hands over the counts of this process, once its calls have ended. */
    handOver(): Promise<void>;
}

const leaseName = "duties";
/** The holder renews its lease once a second and writes a row for each window. */
const storeCallsPerSecond = 10;
/** Only the fleet coordinator polls, and only while another process holds the lease. */
const pollIntervalMilliseconds = 1_000;
/** Limits the hand-over of counts, within the margin at the end of the grace period. */
const handOverTimeoutMilliseconds = 300;

/**
 * Creates the part of this process in the duties of the fleet. Nothing runs before it is started.
 *
 * @returns undefined if the settings name no duty
 */
export function createDuties(options: DutiesOptions): Duties | undefined {
    const { settings, adapters, parts, incarnation, coordination, clock, random, eventLog } = options;
    const { processId, availabilityZone, leaseMilliseconds, duties: dutySettings, peers } = settings;
    const { fleetDuties, tableService, storeEra } = adapters;
    if (!dutySettings || !fleetDuties) {
        return undefined;
    }
    const stopping = new AbortController();
    const isCoordinator = () => !stopping.signal.aborted && coordination.isLeaseCoordinator();
    const storeClient = createStoreClient({
        tableService,
        clock,
        random,
        eventLog,
        writesPerSecond: storeCallsPerSecond,
        readsPerSecond: storeCallsPerSecond,
    });
    const ids = createIdSource(incarnation);
    const leaseManager = createLeaseManager({
        name: leaseName,
        self: {
            processId,
            incarnation,
            vmId: processId,
            availabilityZone,
            peerAddress: `${peers.address}:${peers.port}`,
        },
        storeClient,
        clock,
        random,
        ids,
        eventLog,
        leaseMilliseconds,
        marginMilliseconds: dutyLeaseMarginMilliseconds,
        renewalIntervalMilliseconds: dutyRenewalMilliseconds,
        pollIntervalMilliseconds,
        mayTakeOver: isCoordinator,
        storeEra: storeEra.current,
    });
    const holder = createDutyHolder({
        ...dutySettings,
        holder: processId,
        duties: fleetDuties,
        leaseManager,
        isCoordinator,
        mayKeep: coordination.mayKeepLease,
        isCutOff: parts.links.isCutOff,
        leaseMilliseconds,
        clock,
        eventLog,
    });
    const usage = dutySettings.usage && createUsageExchange({
        ...dutySettings.usage,
        peers: coordination.peers,
        incarnation,
        clock,
    });
    const reporter = usage && createUsageReporter({
        ...dutySettings.usage,
        calls: holder.calls,
        exchange: usage,
        storeClient,
        onReported: options.onReported,
        ids,
        clock,
        eventLog,
    });
    let ended = Promise.resolve();
    return {
        calls: holder.calls,
        recordUsage: usage?.record,
        start: signal => {
            ended = holder.run(stopping.signal);
            void reporter?.run(stopping.signal);
            void usage?.run(signal);
        },
        stop: deadline => {
            stopping.abort();
            return Promise.race([ended, clock.sleepUntil(deadline)]);
        },
        handOver: async () => usage?.handOver(clock.monotonicNow() + handOverTimeoutMilliseconds),
    };
}
