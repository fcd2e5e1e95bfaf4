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
    /** Peer addresses to begin with, written as the peers themselves write theirs; its own may be among them. */
    readonly seeds: readonly string[];
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    readonly heartbeatIntervalMilliseconds?: number;
    readonly vmListIntervalMilliseconds?: number;
    /** How much later than a run's last sign of life a listing without its VM must be to recordProof its end. */
    readonly listingMarginMilliseconds?: number;
    /** The peer address on a listed VM; undefined for VMs that run no peer. Without it the list gives no seeds. */
    readonly readPeerAddress?: (entry: VmEntry) => string | undefined;
}

/** Membership that has to be run. */
export interface RunningMembership extends Membership, DigestExchange {
    /**
     * Sends heartbeats and judges members until `signal` is aborted, then tells the others that it leaves. By that word
     * the others may take over its duties at once: abort only after everything else of this process has ended.
     */
    run(signal: AbortSignal): Promise<void>;
    /** Latest time (monotonic) since which every member of some majority has been heard from; undefined if there is none. */
    majorityContactAt(): number | undefined;
    /** Whether another process has proof that this run has ended. Then it must not act any more, only stop. */
    isPresumedEnded(): boolean;
    onFalselySuspected(listener: FalseSuspicionListener): void;
}

const defaultHeartbeatInterval = 1_000;
const defaultVmListInterval = 5_000;
const defaultListingMargin = 10_000;

/** Heartbeats are spread by this share of the interval, so that processes started together don't send together. */
const jitterShare = 0.2;

/** Creates the view of the cell's members that one process has. */
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

    /** The task of one member: heartbeats to it, and judging it by those that come from it. */
    const monitor = async (record: MemberRecord, signal: AbortSignal) => {
        while (!signal.aborted) {
            heartbeats.send(record);
            const spread = 1 + jitterShare * (random.fraction() - 0.5);
            const nextHeartbeatAt = clock.monotonicNow() + timing.heartbeatInterval * spread;
            await Promise.all([failureDetector.examine(record), clock.sleepUntil(nextHeartbeatAt, signal)]);
            resetSilenceAfterOwnPause(record, nextHeartbeatAt);
        }
    };

    /** A process that was itself paused has not heard anybody for that time and must not blame them. */
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
            table.dropOld();
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
