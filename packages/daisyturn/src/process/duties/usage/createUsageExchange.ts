import type { Clock } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { PeerExchange } from "../../forwarding/coordination/exchange/peerExchange.js";
import { createFleetTime, type FleetTime } from "./createFleetTime.js";
import { type AccountCounts, createUsageCounts } from "./createUsageCounts.js";
import {
    encodeUsage,
    encodeUsageEnd,
    encodeUsageQuery,
    encodeUsageReceipt,
    readUsage,
    readUsageEnd,
    readUsageQuery,
    readUsageReceipt,
    usagePartMethod,
} from "./usageMessages.js";

/** What {@link createUsageExchange} needs. */
export interface UsageExchangeOptions {
    readonly peers: PeerExchange;
    readonly incarnation: string;
    readonly windowMilliseconds: number;
    readonly clock: Clock;
}

/** Counts the requests of this process, and collects the counts of the others. */
export interface UsageExchange {
    readonly time: FleetTime;
    /** Counts a request that began to run at a monotonic time. */
    record(account: string, beganAt: number): void;
    /** Asks the coordinators and standbys of all groups for a window, and returns its merged totals. */
    collect(window: number): Promise<AccountCounts>;
    /** Sends the counts whenever they have changed, until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /** Sends the counts until a coordinator has acknowledged them, or until the deadline (monotonic). */
    handOver(deadline: number): Promise<void>;
}

const sendIntervalMilliseconds = 500;
/** A process without requests also takes part in the median of the clocks. */
const clockIntervalMilliseconds = 10_000;
/** A window that waits for a silent store is reported from these counts. */
const retainedMilliseconds = 60_000;
const handOverIntervalMilliseconds = 50;
const queryIntervalMilliseconds = 150;
const maxQueries = 6;
/** The coordinator and the standby of the group are listed first. */
const receiversPerGroup = 2;

interface QueryState {
    readonly parts: Map<string, Set<string>>;
    readonly expected: Map<string, number>;
}

/** Creates the exchange of one process. Nothing is sent before `run` is called. */
export function createUsageExchange(options: UsageExchangeOptions): UsageExchange {
    const { peers, incarnation, windowMilliseconds, clock } = options;
    const { self } = peers;
    const time = createFleetTime(clock);
    const counts = createUsageCounts();
    /** Largest total of each window that each receiver has acknowledged. */
    const acknowledged = new Map<string, Map<number, number>>();
    const queries = new Map<number, QueryState>();
    let clockSentAt = -Infinity;

    const isOther = ({ peerId }: RegisteredPeer) => peerId !== self.peerId;
    const listReceivers = () => peers.listCoordinators().slice(0, receiversPerGroup).filter(isOther);
    const findWindow = (at: number) => Math.floor(time.at(at) / windowMilliseconds);

    const describe = (window: number, source: string, own: AccountCounts) => ({
        from: self.peerId,
        source,
        wall: clock.wallNow(),
        window,
        total: sum(own),
        counts: [...own],
    });

    const listUnacknowledged = ({ peerId }: RegisteredPeer) => {
        const known = acknowledged.get(peerId);
        return counts.listWindows().filter(window => sumOwn(window) > (known?.get(window) ?? 0));
    };

    const sumOwn = (window: number) => sum(counts.list(window).get(incarnation) ?? new Map());

    const sendChanges = () => {
        const isClockDue = clock.monotonicNow() - clockSentAt >= clockIntervalMilliseconds;
        for (const receiver of listReceivers()) {
            const changed = listUnacknowledged(receiver);
            changed.forEach(window => {
                const own = counts.list(window).get(incarnation) ?? new Map<string, number>();
                peers.send(receiver, encodeUsage(describe(window, incarnation, own)));
            });
            if (changed.length > 0 || isClockDue) {
                clockSentAt = clock.monotonicNow();
            }
            if (changed.length === 0 && isClockDue) {
                peers.send(receiver, encodeUsage(describe(findWindow(clock.monotonicNow()), incarnation, new Map())));
            }
        }
    };

    const prune = () => {
        const first = findWindow(clock.monotonicNow() - retainedMilliseconds);
        counts.prune(first);
        acknowledged.forEach(known =>
            [...known.keys()].filter(window => window < first).forEach(window => known.delete(window))
        );
    };

    peers.addReceiver((notification, from) => {
        const message = readUsage(notification);
        if (message && peers.isKnown(message.from, from)) {
            time.recordClock(message.from, message.wall);
            if (message.counts.length > 0) {
                counts.merge(message.window, message.source, new Map(message.counts));
            }
            const { source, window, total } = message;
            peers.send(from, encodeUsageReceipt({ from: self.peerId, source, window, total, time: time.median() }));
        }
        const receipt = readUsageReceipt(notification);
        if (receipt?.source === incarnation && peers.isKnown(receipt.from, from)) {
            time.adopt(receipt.time);
            const known = acknowledged.get(receipt.from) ?? new Map<number, number>();
            known.set(receipt.window, Math.max(receipt.total, known.get(receipt.window) ?? 0));
            acknowledged.set(receipt.from, known);
        }
        const query = readUsageQuery(notification);
        if (query && peers.isKnown(query.from, from)) {
            const sources = counts.list(query.window);
            sources.forEach((known, source) =>
                peers.send(from, encodeUsage(describe(query.window, source, known), usagePartMethod))
            );
            peers.send(from, encodeUsageEnd({ from: self.peerId, window: query.window, sources: sources.size }));
        }
        const part = readUsage(notification, usagePartMethod);
        if (part && peers.isKnown(part.from, from)) {
            counts.merge(part.window, part.source, new Map(part.counts));
            const parts = queries.get(part.window)?.parts;
            parts?.set(part.from, (parts.get(part.from) ?? new Set()).add(part.source));
        }
        const end = readUsageEnd(notification);
        if (end && peers.isKnown(end.from, from)) {
            queries.get(end.window)?.expected.set(end.from, end.sources);
        }
    });

    return {
        time,
        record: (account, beganAt) => counts.add(findWindow(beganAt), incarnation, account),
        collect: async window => {
            const state: QueryState = { parts: new Map(), expected: new Map() };
            queries.set(window, state);
            const isAnswered = ({ peerId }: RegisteredPeer) => {
                const expected = state.expected.get(peerId);
                return expected !== undefined && (state.parts.get(peerId)?.size ?? 0) >= expected;
            };
            for (let query = 0; query < maxQueries; query++) {
                const missing = peers.listCoordinators().filter(peer => isOther(peer) && !isAnswered(peer));
                if (missing.length === 0) {
                    break;
                }
                missing.forEach(peer => peers.send(peer, encodeUsageQuery({ from: self.peerId, window })));
                await clock.sleepUntil(clock.monotonicNow() + queryIntervalMilliseconds);
            }
            queries.delete(window);
            return counts.total(window);
        },
        run: async signal => {
            while (!signal.aborted) {
                if (listReceivers().length < receiversPerGroup) {
                    // A coordinator's own time is the median that it sends to the others.
                    time.adopt(time.median());
                }
                sendChanges();
                prune();
                await clock.sleepUntil(clock.monotonicNow() + sendIntervalMilliseconds, signal);
            }
        },
        handOver: async deadline => {
            const isHandedOver = () => {
                const receivers = listReceivers();
                return receivers.length === 0 || receivers.some(peer => listUnacknowledged(peer).length === 0);
            };
            while (!isHandedOver() && clock.monotonicNow() < deadline) {
                sendChanges();
                await clock.sleepUntil(clock.monotonicNow() + handOverIntervalMilliseconds);
            }
        },
    };
}

function sum(counts: AccountCounts): number {
    return [...counts.values()].reduce((total, count) => total + count, 0);
}
