import type { Clock } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { PeerExchange } from "../../forwarding/coordination/exchange/peerExchange.js";
import { createFleetTime, type FleetTime } from "./createFleetTime.js";
import { type CollectedUsage, createUsageCollection } from "./createUsageCollection.js";
import { type AccountCounts, createUsageCounts } from "./createUsageCounts.js";
import { createUsageReceipts } from "./createUsageReceipts.js";
import { encodeUsage, encodeUsageReceipt, readUsage, readUsageReceipt } from "./usageMessages.js";

/** What {@link createUsageExchange} needs. */
export interface UsageExchangeOptions {
    readonly peers: PeerExchange;
    readonly incarnation: string;
    readonly windowMilliseconds: number;
    readonly clock: Clock;
}

/** Counts the requests of this process, and collects the counts of the others. */
export interface UsageExchange {
    readonly time: Pick<FleetTime, "at" | "isAgreed">;
    /** Counts a request that began to run at a monotonic time. */
    record(account: string, beganAt: number): void;
    /** Asks the coordinators and standbys of all groups for a window, and returns its merged totals. */
    collect(window: number): Promise<CollectedUsage>;
    /** Sends the counts whenever they have changed, until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /**
     * Sends the counts of this process, and those that it has received as a coordinator, until a coordinator has
     * acknowledged them, or until the deadline (monotonic).
     */
    handOver(deadline: number): Promise<void>;
}

const sendIntervalMilliseconds = 500;
/** A process without requests also takes part in the median of the clocks. */
const clockIntervalMilliseconds = 10_000;
/**
 * Interval of messages of a process that does not know the fleet's time or has counted a while ago. A coordinator that has
 * restarted soon gets the counts that its earlier incarnation had acknowledged.
 */
const recentIntervalMilliseconds = 1_000;
/** After this time as coordinator, all processes that run have sent their clocks; the other entries are of ended ones. */
const allClocksMilliseconds = 12_000;
/** A window that waits for a silent store is reported from these counts. */
const retainedMilliseconds = 60_000;
const handOverIntervalMilliseconds = 50;
/** By then, the report of a window is due, and has been sent unless the store is silent. */
const reportedMilliseconds = 15_000;

/** Creates the exchange of one process. Nothing is sent before `run` is called. */
export function createUsageExchange(options: UsageExchangeOptions): UsageExchange {
    const { peers, incarnation, windowMilliseconds, clock } = options;
    const { self } = peers;
    const time = createFleetTime(clock);
    const counts = createUsageCounts();
    const receipts = createUsageReceipts(clock);
    /** Incarnations that sent their counts to this process itself, and did not only appear in a collected window. */
    const senders = new Set<string>();
    /** Monotonic time of the last message to each receiver. */
    const sentAt = new Map<string, number>();
    /** Monotonic time since which this process coordinates its group. */
    let coordinatorSince: number | undefined;
    /** Whether this process knows enough clocks itself, and does not follow another coordinator's time. */
    let hasMedian = false;

    const isOther = ({ peerId }: RegisteredPeer) => peerId !== self.peerId;
    const listReceivers = () => peers.listGroupCoordinators().filter(isOther);
    const findWindow = (at: number) => Math.floor(time.at(at) / windowMilliseconds);
    const find = (window: number, source: string): AccountCounts => counts.list(window).get(source) ?? new Map();

    const describe = (window: number, source: string) => {
        const known = find(window, source);
        return {
            from: self.peerId,
            source,
            wall: clock.wallNow(),
            window,
            total: sum(known),
            counts: [...known],
            sentAt: clock.monotonicNow(),
            isRelayed: source !== incarnation,
        };
    };

    const collection = createUsageCollection({ peers, counts, describe, clock });

    const listUnacknowledged = ({ peerId }: RegisteredPeer, source = incarnation) =>
        counts.listWindows().filter(window => sum(find(window, source)) > receipts.find(peerId, source, window));

    const sendTo = (receiver: RegisteredPeer) => {
        const changed = listUnacknowledged(receiver);
        // One message is enough to find out whether a process that has been silent receives messages again.
        const sent = receipts.isSilent(receiver.peerId) ? changed.slice(-1) : changed;
        sent.forEach(window => peers.send(receiver, encodeUsage(describe(window, incarnation))));
        return sent.length > 0;
    };

    const hasRecentCounts = () => {
        const first = findWindow(clock.monotonicNow() - reportedMilliseconds);
        return counts.listWindows().some(window => window >= first && find(window, incarnation).size > 0);
    };

    const sendChanges = () => {
        const now = clock.monotonicNow();
        const interval = hasRecentCounts() || !time.isAgreed() ? recentIntervalMilliseconds : clockIntervalMilliseconds;
        for (const receiver of listReceivers()) {
            const isClockDue = now - (sentAt.get(receiver.peerId) ?? -Infinity) >= interval;
            if (sendTo(receiver)) {
                sentAt.set(receiver.peerId, now);
            }
            else if (isClockDue) {
                sentAt.set(receiver.peerId, now);
                const message = describe(findWindow(now), incarnation);
                peers.send(receiver, encodeUsage({ ...message, total: 0, counts: [] }));
            }
        }
    };

    /** Counts the listed processes of this process's group, including those that have ended. */
    const countGroup = () => {
        const group = new Set(peers.listGroupCoordinators().map(({ peerId }) => peerId));
        const isOnlyGroup = peers.listCoordinators().every(({ peerId }) => group.has(peerId));
        return peers.listPeers().filter(peer => isOnlyGroup || peer.availabilityZone === self.availabilityZone).length;
    };

    /** A coordinator's own time is the median that it sends to the others. */
    const followClocks = () => {
        const now = clock.monotonicNow();
        coordinatorSince = peers.listGroupCoordinators().every(isOther) ? undefined : coordinatorSince ?? now;
        const knowsAll = coordinatorSince !== undefined && now - coordinatorSince > allClocksMilliseconds;
        hasMedian = coordinatorSince !== undefined && time.adoptMedian(knowsAll ? 1 : countGroup());
    };

    const prune = () => {
        const first = findWindow(clock.monotonicNow() - retainedMilliseconds);
        counts.prune(first);
        receipts.prune(first);
    };

    peers.addReceiver((notification, from) => {
        const message = readUsage(notification);
        if (message && peers.isKnown(message.from, from)) {
            const { source, window, total } = message;
            if (message.isRelayed !== true) {
                time.recordClock(source, message.wall, message.sentAt);
            }
            if (message.counts.length > 0) {
                counts.merge(window, source, new Map(message.counts));
                senders.add(source);
            }
            const receipt = { from: self.peerId, receiver: incarnation, source, window, total, sentAt: message.sentAt };
            const told = time.isAgreed() ? time.at(clock.monotonicNow()) : undefined;
            peers.send(from, encodeUsageReceipt({ ...receipt, time: told }));
        }
        const receipt = readUsageReceipt(notification);
        if (receipt && peers.isKnown(receipt.from, from)) {
            const isNew = receipts.record(receipt);
            if (receipt.source === incarnation && receipt.time !== undefined && !hasMedian) {
                time.adopt(receipt.time, receipt.sentAt ?? clock.monotonicNow());
            }
            const receiver = listReceivers().find(({ peerId }) => peerId === receipt.from);
            if (isNew && receiver) {
                sendTo(receiver);
            }
        }
        collection.receive(notification, from);
    });

    const listHeld = () => {
        const first = findWindow(clock.monotonicNow() - reportedMilliseconds);
        return [...senders].map(source => ({ source, first }));
    };

    /** Lists what a process has not acknowledged, including the counts of the processes that this one coordinates. */
    const listToHandOver = (receiver: RegisteredPeer) => [
        ...listUnacknowledged(receiver).map(window => ({ window, source: incarnation })),
        ...listHeld().flatMap(({ source, first }) =>
            listUnacknowledged(receiver, source).filter(window => window >= first).map(window => ({ window, source }))
        ),
    ];

    return {
        time,
        record: (account, beganAt) => counts.add(findWindow(beganAt), incarnation, account),
        collect: collection.collect,
        run: async signal => {
            while (!signal.aborted) {
                followClocks();
                collection.observe();
                sendChanges();
                prune();
                await clock.sleepUntil(clock.monotonicNow() + sendIntervalMilliseconds, signal);
            }
        },
        handOver: async deadline => {
            while (clock.monotonicNow() < deadline) {
                const receivers = listReceivers();
                const remaining = receivers.map(receiver => ({ receiver, entries: listToHandOver(receiver) }));
                if (receivers.length === 0 || remaining.some(({ entries }) => entries.length === 0)) {
                    return;
                }
                for (const { receiver, entries } of remaining) {
                    entries.forEach(({ window, source }) =>
                        peers.send(receiver, encodeUsage(describe(window, source)))
                    );
                }
                await clock.sleepUntil(clock.monotonicNow() + handOverIntervalMilliseconds);
            }
        },
    };
}

function sum(counts: AccountCounts): number {
    return [...counts.values()].reduce((total, count) => total + count, 0);
}
