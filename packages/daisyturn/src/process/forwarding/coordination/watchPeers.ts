import { type Clock, EventKind, type EventLog, type Signal } from "daisyturn-utils";
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

/** A request to rewrite this process's registry entry; pending until the next refresh starts. */
export interface EntryRefreshRequest {
    readonly requested: Signal;
    isPending: boolean;
}

/** Until other processes are found, while no coordinator is heard, and after a failure. */
const searchMilliseconds = 1_000;
/** Coordinators meet each other here; each look is a call to the store, which is priced. */
const coordinatorMilliseconds = 10_000;
/** Between two looks whether a process that follows a coordinator still hears one. */
const checkMilliseconds = 2_000;
const timeoutMilliseconds = 1_000;
/** Unlisted peers are kept this long after a store rollback, so that they have time to rewrite their entries. */
const unlistedGraceMilliseconds = 2_500;

/**
 * Enters this process among those of the fleet and finds the others, until the signal is aborted. A process that hears a
 * coordinator learns from it who comes next, and asks the store no more.
 */
export async function watchPeers(options: WatchPeersOptions, signal: AbortSignal): Promise<void> {
    const { self, registry, link, refreshRequest, clock, eventLog } = options;
    let unreadable = 0;
    let mustRefresh = true;
    /** Monotonic time until which unlisted peers are kept. */
    let keepUnlistedUntil = -Infinity;
    let found: readonly RegisteredPeer[] = [];

    const noteUnreadable = (count: number) => {
        if (count !== unreadable) {
            unreadable = count;
            eventLog.record(EventKind.Fault, { reason: "entries of peers can't be read", count });
        }
    };

    /** @returns the pause until the next look */
    const look = async (): Promise<number> => {
        if (refreshRequest.isPending) {
            refreshRequest.isPending = false;
            keepUnlistedUntil = clock.monotonicNow() + unlistedGraceMilliseconds;
        }
        const listing = await registry.refresh(self, clock.monotonicNow() + timeoutMilliseconds);
        if (listing.isErr) {
            eventLog.record(EventKind.Fault, { reason: `peers could not be read: ${listing.error.message}` });
            mustRefresh = true;
            return searchMilliseconds;
        }
        mustRefresh = false;
        const { peers, unreadable: unreadableNow } = listing.value;
        // Processes start together: the first ones to look find a part of the others.
        const isSettled = peers.length > 1 && peers.length === found.length;
        found = peers;
        if (clock.monotonicNow() < keepUnlistedUntil) {
            link.addPeers(peers);
        }
        else {
            link.setPeers(peers);
        }
        noteUnreadable(unreadableNow);
        return isSettled && link.isCandidate() ? coordinatorMilliseconds : searchMilliseconds;
    };

    while (!signal.aborted) {
        const needsLook = mustRefresh || refreshRequest.isPending || found.length === 0 || link.isCandidate()
            || !link.hasContact();
        const pause = needsLook ? await look() : checkMilliseconds;
        if (!refreshRequest.isPending) {
            await refreshRequest.requested.wait(clock, clock.monotonicNow() + pause, signal);
        }
    }
}
