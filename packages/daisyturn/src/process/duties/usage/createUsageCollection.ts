import type { Clock } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { NotificationReceiver, PeerExchange } from "../../forwarding/coordination/exchange/peerExchange.js";
import type { AccountCounts, UsageCounts } from "./createUsageCounts.js";
import {
    encodeUsage,
    encodeUsageEnd,
    encodeUsageQuery,
    readUsage,
    readUsageEnd,
    readUsageQuery,
    type UsageMessage,
    usagePartMethod,
} from "./usageMessages.js";

/** Merged counts of a window. */
export interface CollectedUsage {
    readonly counts: AccountCounts;
    /** Whether each known group has answered. */
    readonly isComplete: boolean;
}

/** What {@link createUsageCollection} needs. */
export interface UsageCollectionOptions {
    readonly peers: PeerExchange;
    readonly counts: UsageCounts;
    readonly describe: (window: number, source: string) => UsageMessage;
    readonly clock: Clock;
}

/** Asks coordinators for their counts, and answers those who ask. */
export interface UsageCollection {
    readonly receive: NotificationReceiver;
    /** Notes who coordinates the groups at the moment; to be called regularly. */
    observe(): void;
    collect(window: number): Promise<CollectedUsage>;
}

interface KnownCoordinator {
    readonly peer: RegisteredPeer;
    readonly group: string;
    readonly seenAt: number;
}

interface QueryState {
    readonly parts: Map<string, Set<string>>;
    readonly ends: Map<string, { readonly sources: number; readonly isSettled: boolean; }>;
}

const queryIntervalMilliseconds = 150;
const maxQueries = 6;
const ownGroup = "";
/** Former coordinators have counts of processes that ended while they coordinated. */
const rememberedMilliseconds = 30_000;
/** The members of a group send their counts to a new coordinator within several intervals of their messages. */
const settlingMilliseconds = 2_500;

/** Creates the part of one process in the collection of counts. */
export function createUsageCollection({ peers, counts, describe, clock }: UsageCollectionOptions): UsageCollection {
    const { self } = peers;
    const queries = new Map<number, QueryState>();
    const coordinators = new Map<string, KnownCoordinator>();
    /** Monotonic time since which this process coordinates its group. */
    let coordinatorSince: number | undefined;

    const observe = (isCollecting = false) => {
        const seenAt = clock.monotonicNow();
        const own = new Set(peers.listGroupCoordinators().map(({ peerId }) => peerId));
        coordinatorSince = own.has(self.peerId) ? coordinatorSince ?? seenAt : undefined;
        // The others only have to know the coordinators of their own group, should they follow them.
        const listed = isCollecting || coordinatorSince !== undefined
            ? peers.listCoordinators()
            : peers.listGroupCoordinators();
        for (const peer of listed) {
            const group = own.has(peer.peerId) ? ownGroup : peer.availabilityZone;
            coordinators.set(peer.peerId, { peer, group, seenAt });
        }
        coordinators.forEach((known, peerId) =>
            seenAt - known.seenAt > rememberedMilliseconds && coordinators.delete(peerId)
        );
    };

    const isSettled = () =>
        coordinatorSince !== undefined && clock.monotonicNow() - coordinatorSince >= settlingMilliseconds;

    const isAnswered = ({ parts, ends }: QueryState, peerId: string) => {
        const end = ends.get(peerId);
        return end !== undefined && (parts.get(peerId)?.size ?? 0) >= end.sources;
    };

    const isComplete = (state: QueryState) => {
        const known = [...coordinators.values()];
        const complete = new Set(
            known
                .filter(({ peer: { peerId } }) =>
                    peerId === self.peerId
                        ? isSettled()
                        : isAnswered(state, peerId) && state.ends.get(peerId)?.isSettled
                )
                .map(({ group }) => group),
        );
        return known.every(({ group }) => complete.has(group));
    };

    const receive: NotificationReceiver = (notification, from) => {
        const query = readUsageQuery(notification);
        if (query && peers.isKnown(query.from, from)) {
            const sources = [...counts.list(query.window).keys()];
            sources.forEach(source => peers.send(from, encodeUsage(describe(query.window, source), usagePartMethod)));
            const end = { from: self.peerId, window: query.window, sources: sources.length, isSettled: isSettled() };
            peers.send(from, encodeUsageEnd(end));
        }
        const part = readUsage(notification, usagePartMethod);
        if (part && peers.isKnown(part.from, from)) {
            counts.merge(part.window, part.source, new Map(part.counts));
            const parts = queries.get(part.window)?.parts;
            parts?.set(part.from, (parts.get(part.from) ?? new Set()).add(part.source));
        }
        const end = readUsageEnd(notification);
        if (end && peers.isKnown(end.from, from)) {
            queries.get(end.window)?.ends.set(end.from, {
                sources: end.sources,
                // Earlier versions do not say it.
                isSettled: end.isSettled ?? true,
            });
        }
    };

    return {
        receive,
        observe: () => observe(),
        collect: async window => {
            const state: QueryState = { parts: new Map(), ends: new Map() };
            queries.set(window, state);
            for (let query = 0; query < maxQueries; query++) {
                observe(true);
                const missing = [...coordinators.values()].filter(({ peer: { peerId } }) =>
                    peerId !== self.peerId && !isAnswered(state, peerId)
                );
                if (missing.length === 0) {
                    break;
                }
                missing.forEach(({ peer }) => peers.send(peer, encodeUsageQuery({ from: self.peerId, window })));
                await clock.sleepUntil(clock.monotonicNow() + queryIntervalMilliseconds);
            }
            queries.delete(window);
            return { counts: counts.total(window), isComplete: isComplete(state) };
        },
    };
}
