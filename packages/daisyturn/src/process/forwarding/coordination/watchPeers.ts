import { type Clock, createSignal, EventKind, type EventLog, type Signal } from "daisyturn-utils";
import type { PeerRegistry, RegisteredPeer } from "../../../ports/peerRegistry.js";
import type { CoordinatorLink } from "./createCoordinatorLink.js";

/** What {@link watchPeers} needs. */
export interface WatchPeersOptions {
    readonly self: RegisteredPeer;
    readonly registry: PeerRegistry;
    readonly link: CoordinatorLink;
    /** Triggers an immediate refresh, because the store may have lost this process's entry. */
    readonly refreshRequest: EntryRefreshRequest;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** A request to read the registry; pending until the next refresh starts. */
export interface EntryRefreshRequest {
    readonly requested: Signal;
    /** The store may have lost this process's entry, and those of others. */
    isPending: boolean;
    /** The list of processes may be outdated. */
    isReadPending: boolean;
}

/** Interval between two reads of the registry on request; each is a call to the store, which has a price. */
const refreshIntervalMilliseconds = 5_000;
/** Interval until other processes are found, while no coordinator is reachable, and after a failure. */
const searchMilliseconds = 1_000;
/** Interval at which coordinators look for each other; each refresh is a call to the store, which has a price. */
const coordinatorMilliseconds = 10_000;
/**
 * Number of reads in a row after which a process with an incomplete list no longer reads the registry for it: the
 * coordinator may count processes that have just ended.
 */
const maxReadsToSettle = 3;
/** Far shorter than the time after which an entry counts as that of a process that has ended. */
const renewalMilliseconds = 300_000;
/** Interval at which a process checks that it still has contact with a coordinator. */
const checkMilliseconds = 2_000;
const timeoutMilliseconds = 1_000;
/** Unlisted peers are retained this long after a store rollback, so that they have time to rewrite their entries. */
const unlistedGraceMilliseconds = 2_500;

/** Creates a request that is not pending, and the functions that make it. */
export function createRefreshRequest(clock: Clock) {
    const refreshRequest: EntryRefreshRequest = { requested: createSignal(), isPending: false, isReadPending: false };
    let nextRefreshAt = -Infinity;
    return {
        refreshRequest,
        refreshPeers: () => {
            if (clock.monotonicNow() >= nextRefreshAt) {
                nextRefreshAt = clock.monotonicNow() + refreshIntervalMilliseconds;
                refreshRequest.isReadPending = true;
                refreshRequest.requested.raise();
            }
        },
        refreshEntry: () => {
            refreshRequest.isPending = true;
            refreshRequest.requested.raise();
        },
    };
}

/**
 * Registers this process in the fleet's registry and watches the registry for other processes, until the signal is
 * aborted. A process that has contact with a coordinator receives the next candidates from it, and no longer reads the
 * registry.
 */
export async function watchPeers(options: WatchPeersOptions, signal: AbortSignal): Promise<void> {
    const { self, registry, link, refreshRequest, clock, eventLog } = options;
    let unreadable = 0;
    let mustRefresh = true;
    /** Monotonic time at which this process renews its entry, also while a coordinator names its peers. */
    let renewAt = -Infinity;
    /** Monotonic time until which unlisted peers are retained. */
    let retainUnlistedUntil = -Infinity;
    let found: readonly RegisteredPeer[] = [];
    let reads = 0;

    const recordUnreadable = (count: number) => {
        if (count !== unreadable) {
            unreadable = count;
            eventLog.record(EventKind.Fault, { reason: "invalid entries in the peer registry", count });
        }
    };

    /** @returns the time until the next refresh, in milliseconds */
    const refresh = async (): Promise<number> => {
        refreshRequest.isReadPending = false;
        if (refreshRequest.isPending) {
            refreshRequest.isPending = false;
            retainUnlistedUntil = clock.monotonicNow() + unlistedGraceMilliseconds;
        }
        const listing = await registry.refresh(self, clock.monotonicNow() + timeoutMilliseconds);
        if (listing.isErr) {
            eventLog.record(EventKind.Fault, { reason: `could not read the peer registry: ${listing.error.message}` });
            mustRefresh = true;
            return searchMilliseconds;
        }
        const { peers, unreadable: unreadableNow, writeFailure } = listing.value;
        if (writeFailure) {
            eventLog.record(EventKind.Fault, { reason: `could not register with the peers: ${writeFailure.message}` });
        }
        else {
            renewAt = clock.monotonicNow() + renewalMilliseconds;
        }
        mustRefresh = writeFailure !== undefined;
        reads += 1;
        // Processes start together, so the first reads of the registry return only some of the others.
        const isSettled = peers.length > 1 && peers.length === found.length;
        found = peers;
        if (clock.monotonicNow() < retainUnlistedUntil) {
            link.addPeers(peers);
        }
        else {
            link.setPeers(peers);
        }
        recordUnreadable(unreadableNow);
        return isSettled && link.isCandidate() ? coordinatorMilliseconds : searchMilliseconds;
    };

    /** Whether a coordinator counts more processes than this one has found at its start. */
    const isIncomplete = () => reads < maxReadsToSettle && (link.countProcesses() ?? 0) > (link.countListed() ?? 0);

    while (!signal.aborted) {
        const isRefreshDue = mustRefresh || clock.monotonicNow() >= renewAt || refreshRequest.isPending
            || refreshRequest.isReadPending
            || found.length === 0 || link.isCandidate()
            || !link.hasContact() || isIncomplete();
        const interval = isRefreshDue ? await refresh() : checkMilliseconds;
        if (!refreshRequest.isPending && !refreshRequest.isReadPending) {
            await refreshRequest.requested.wait(clock, clock.monotonicNow() + interval, signal);
        }
    }
}
