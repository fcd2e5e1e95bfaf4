import type { Clock, EventLog, Random } from "daisyturn-utils";
import { once } from "node:events";
import type { VmEntry, VmList } from "../../ports/vmList.js";
import {
    createDigestExchange,
    type DialingPeerNetwork,
    type DigestExchange,
    type Membership,
    MemberState,
    PeerMethod,
    type ProcessIdentity,
} from "../peers/index.js";
import { createFailureDetector } from "./createFailureDetector.js";
import { createHeartbeats, type FalseSuspicionListener } from "./createHeartbeats.js";
import { createMemberDirectory } from "./createMemberDirectory.js";
import { createMemberTable, type MemberRecord } from "./createMemberTable.js";
import { createSeedList } from "./createSeedList.js";
import { EndProof } from "./heartbeatMessage.js";
import { createMembershipTiming } from "./membershipTiming.js";

export interface MembershipOptions {
    readonly network: DialingPeerNetwork;
    readonly vmList: VmList;
    /** Initial peer addresses, in the form that the peers use for themselves; may include the own address. */
    readonly seeds: readonly string[];
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly heartbeatIntervalMilliseconds?: number;
    readonly vmListIntervalMilliseconds?: number;
    /** How much later than the last contact with an incarnation a listing without its VM must be to prove its end. */
    readonly listingMarginMilliseconds?: number;
    /** Returns the peer address on a listed VM; undefined for VMs without one. By default, the list gives no seeds. */
    readonly readPeerAddress?: (entry: VmEntry) => string | undefined;
}

/** Membership with its background task. */
export interface RunningMembership extends Membership, DigestExchange {
    /**
     * Sends heartbeats and evaluates members until `signal` is aborted, then notifies the others that this process
     * leaves. They may then take over its work at once: abort only after everything else of this process has ended.
     */
    run(signal: AbortSignal): Promise<void>;
    /** Latest monotonic time since which there was contact with every member of some majority; undefined if none. */
    majorityContactAt(): number | undefined;
    /** Returns whether another process has proof that this incarnation has ended. It must then only stop. */
    isPresumedEnded(): boolean;
    onFalselySuspected(listener: FalseSuspicionListener): void;
}

const defaultHeartbeatInterval = 1_000;
const defaultVmListInterval = 5_000;
const defaultListingMargin = 10_000;

/** Jitter as a fraction of the interval, so that processes started together don't send at the same time. */
const jitterShare = 0.2;

/** Creates the membership of one process. */
export function createMembership(options: MembershipOptions): RunningMembership {
    const { network, vmList, clock, random, eventLog } = options;
    const timing = createMembershipTiming(options.heartbeatIntervalMilliseconds ?? defaultHeartbeatInterval);
    const vmListInterval = options.vmListIntervalMilliseconds ?? defaultVmListInterval;
    const table = createMemberTable({ self: () => network.self, clock, eventLog, timing });
    const failureDetector = createFailureDetector({ network, table, clock, random, timing });
    const digests = createDigestExchange(eventLog);
    const seedList = createSeedList(options.seeds, options.readPeerAddress, network);
    const directory = createMemberDirectory({
        network,
        table,
        seedList,
        clock,
        listingMarginMilliseconds: options.listingMarginMilliseconds ?? defaultListingMargin,
        onRegistered: record => startMonitoring(record),
    });
    const heartbeats = createHeartbeats({ network, table, directory, digests, clock, timing, eventLog });
    let running: AbortSignal | undefined;

    const handleHello = (identity: ProcessIdentity) => {
        digests.forget(identity.processId);
        const record = directory.recordContact(identity);
        if (record && running?.aborted === false) {
            heartbeats.send(record);
        }
    };

    /** Sends heartbeats to one member and evaluates its state. */
    const monitor = async (record: MemberRecord, signal: AbortSignal) => {
        while (!signal.aborted) {
            heartbeats.send(record);
            const spread = 1 + jitterShare * (random.fraction() - 0.5);
            const nextHeartbeatAt = clock.monotonicNow() + timing.heartbeatInterval * spread;
            await Promise.all([failureDetector.evaluate(record), clock.sleepUntil(nextHeartbeatAt, signal)]);
            resetSilenceAfterOwnPause(record, nextHeartbeatAt);
        }
    };

    /** A process that was paused itself received nothing in that time, so it must not suspect others for it. */
    const resetSilenceAfterOwnPause = (record: MemberRecord, dueAt: number) => {
        const now = clock.monotonicNow();
        if (now - dueAt > timing.heartbeatInterval) {
            record.silenceStartedAt = now;
        }
    };

    const startMonitoring = (record: MemberRecord) => {
        if (running) {
            void monitor(record, AbortSignal.any([running, record.monitoringStop.signal]));
        }
    };

    const watchVmList = async (signal: AbortSignal) => {
        while (!signal.aborted) {
            const listing = await vmList.list(clock.monotonicNow() + vmListInterval);
            if (listing.isOk) {
                directory.applyListing(listing.value);
            }
            table.removeExpired();
            await clock.sleepUntil(clock.monotonicNow() + vmListInterval, signal);
        }
    };

    const run = async (signal: AbortSignal) => {
        running = signal;
        seedList.connect();
        table.present().forEach(startMonitoring);
        void watchVmList(signal);
        await whenAborted(signal);
        table.present().forEach(record => network.notify(record.identity.processId, PeerMethod.Leave, {}));
    };

    const majorityContactAt = (): number | undefined => {
        const known = table.present();
        const othersNeeded = Math.floor((known.length + seedList.countMissing() + 1) / 2);
        const contactTimes = known.map(record => record.lastContactAt).filter(at => at !== undefined);
        contactTimes.sort((one, other) => other - one);
        return othersNeeded === 0 ? clock.monotonicNow() : contactTimes[othersNeeded - 1];
    };

    const hasMajorityContact = () => {
        const contactAt = majorityContactAt();
        return contactAt !== undefined && clock.monotonicNow() - contactAt <= timing.suspectLimit;
    };

    network.onHello(handleHello);
    network.handle(PeerMethod.Heartbeat, (from, parameters) => {
        heartbeats.receive(from, parameters);
        return {};
    });
    network.handle(PeerMethod.Leave, from => {
        directory.recordProof(from, EndProof.Left);
        return {};
    });

    return {
        run,
        others: () => table.all().map(({ identity, state }) => ({ identity, state })),
        livePeers: () =>
            table.present().filter(record => record.state === MemberState.Alive).map(record => record.identity),
        hasEnded: directory.hasEnded,
        hasMajorityContact,
        majorityContactAt,
        isPresumedEnded: heartbeats.isPresumedEnded,
        onChange: table.onChange,
        onFalselySuspected: heartbeats.onFalselySuspected,
        contributeDigest: digests.contributeDigest,
        onDigest: digests.onDigest,
    };
}

async function whenAborted(signal: AbortSignal): Promise<void> {
    if (!signal.aborted) {
        await once(signal, "abort");
    }
}
