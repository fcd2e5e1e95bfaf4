import { type Clock, createIdSource, type EventLog, type Random } from "daisyturn-utils";
import {
    type Coordination,
    createDutyHolder,
    createLeaseManager,
    createStoreClient,
    type DutyCalls,
    dutyLeaseMarginMilliseconds,
    dutyRenewalMilliseconds,
} from "daisyturn/forwarding";
import type { ForwardingProcessParts } from "./createForwardingParts.js";
import type { ForwardingAdapters } from "./forwardingAdapters.js";
import type { ForwardingSettings } from "./forwardingSettings.js";

/** What {@link startDuties} needs. */
export interface DutiesOptions {
    readonly settings: ForwardingSettings;
    readonly adapters: ForwardingAdapters;
    readonly parts: Pick<ForwardingProcessParts, "links">;
    readonly incarnation: string;
    readonly coordination: Pick<Coordination, "isFleetCoordinator">;
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
}

/** The running part of this process in the duties of the fleet. */
export interface RunningDuties {
    readonly calls: DutyCalls;
    /** Ends the calls and releases the lease. */
    stop(): Promise<void>;
}

const leaseName = "duties";
/** The holder renews its lease once a second and writes a row for each window. */
const storeCallsPerSecond = 10;
/** Only the fleet coordinator polls, and only while another process holds the lease. */
const pollIntervalMilliseconds = 1_000;

/**
 * Starts the part of this process in the duties of the fleet.
 *
 * @returns undefined if the settings name no duty
 */
export function startDuties(options: DutiesOptions): RunningDuties | undefined {
    const { settings, adapters, parts, incarnation, coordination, clock, random, eventLog } = options;
    const { processId, availabilityZone, leaseMilliseconds, duties: dutySettings, peers } = settings;
    const { fleetDuties, tableService, storeEra } = adapters;
    if (!dutySettings || !fleetDuties) {
        return undefined;
    }
    const stopping = new AbortController();
    const isCoordinator = () => !stopping.signal.aborted && coordination.isFleetCoordinator();
    const storeClient = createStoreClient({
        tableService,
        clock,
        random,
        eventLog,
        writesPerSecond: storeCallsPerSecond,
        readsPerSecond: storeCallsPerSecond,
    });
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
        ids: createIdSource(incarnation),
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
        isCutOff: parts.links.isCutOff,
        leaseMilliseconds,
        clock,
        eventLog,
    });
    const ended = holder.run(stopping.signal);
    return {
        calls: holder.calls,
        stop: () => {
            stopping.abort();
            return ended;
        },
    };
}
