import { type Clock, createInterruption, type Random } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";
import type { WindowedRetryBudget } from "../../retries/createWindowedRetryBudget.js";
import type { Notification } from "../messages/notification.js";
import {
    encodeRetryLease,
    encodeRetryLeaseRequest,
    readRetryLease,
    readRetryLeaseRequest,
} from "../messages/retryMessages.js";
import type { PeerAddress } from "../peerChannel.js";

/** What {@link createRetryLeases} needs. */
export interface RetryLeasesOptions {
    readonly self: RegisteredPeer;
    readonly budget: Pick<WindowedRetryBudget, "lend" | "addLease">;
    /** Lists all known processes, including this one. */
    readonly listPeers: () => readonly RegisteredPeer[];
    /** Whether a process is known under this name at this host. */
    readonly isRegistered: (peerId: string, from: PeerAddress) => boolean;
    /** Requests that the list of processes be read again. */
    readonly refreshPeers: () => void;
    readonly send: (to: PeerAddress, datagram: Buffer) => void;
    readonly random: Random;
    readonly clock: Clock;
}

/**
 * Moves repeats of the retry budget between processes. Nothing is sent while the budgets of all processes suffice. A
 * lender counts what it leases as sent before it answers, so a lost message loses repeats and never adds any.
 */
export interface RetryLeases {
    /**
     * Asks other processes to lease repeats for a service to this one.
     * @returns whether any has, before the deadline; false at once if none had any a moment ago
     */
    request(service: string, deadline: number): Promise<boolean>;
    receive(notification: Notification, from: PeerAddress): void;
}

/** Far longer than an answer takes, also from another region. A call waits no longer for a lease. */
const answerTimeoutMilliseconds = 40;
/** Time for which no further processes are asked after none has leased any repeat. */
const emptyMilliseconds = 500;
/** Covers the placement of a retry; what is left of a lease at its end is lost. */
const leaseMilliseconds = 1_000;
/** Time before the end of a lease after which it is not used any more, so that a connection can still be opened. */
const sendMarginMilliseconds = 400;
const askedProcesses = 4;
const wantedFromEach = 1;

interface PendingRequest {
    readonly service: string;
    /** Names of the processes that have not answered. */
    readonly pending: Set<string>;
    /** Monotonic time until which leased repeats may be sent. */
    readonly deadline: number;
    leased: number;
    /** Called once repeats have been leased, or no answer is pending. */
    readonly settle: () => void;
}

/** Creates the leases of one process. */
export function createRetryLeases(options: RetryLeasesOptions): RetryLeases {
    const { self, budget, send, random, clock } = options;
    const requests = new Map<number, PendingRequest>();
    /** The request under way, by service. */
    const running = new Map<string, Promise<boolean>>();
    /** Monotonic time until which no process is asked, by service. */
    const emptyUntil = new Map<string, number>();
    let lastRequestId = 0;

    const pickPeers = () => {
        const others = options.listPeers().filter(({ peerId }) => peerId !== self.peerId);
        const picked: RegisteredPeer[] = [];
        while (picked.length < askedProcesses && others.length > 0) {
            picked.push(...others.splice(Math.floor(random.fraction() * others.length), 1));
        }
        return picked;
    };

    const removeEnded = () => {
        const now = clock.monotonicNow();
        requests.forEach(({ deadline }, requestId) => deadline <= now && requests.delete(requestId));
    };

    const ask = async (service: string, peers: readonly RegisteredPeer[]): Promise<boolean> => {
        removeEnded();
        const requestId = ++lastRequestId;
        const settled = createInterruption();
        const now = clock.monotonicNow();
        const request: PendingRequest = {
            service,
            pending: new Set(peers.map(({ peerId }) => peerId)),
            // The lender counts from a later time, the arrival of the request.
            deadline: now + leaseMilliseconds - sendMarginMilliseconds,
            leased: 0,
            settle: settled.interrupt,
        };
        requests.set(requestId, request);
        const message = { from: self.peerId, requestId, service, wanted: wantedFromEach, duration: leaseMilliseconds };
        const datagram = encodeRetryLeaseRequest(message);
        peers.forEach(peer => send(peer, datagram));
        await clock.sleepUntil(now + answerTimeoutMilliseconds, settled.signal);
        if (request.leased === 0) {
            emptyUntil.set(service, clock.monotonicNow() + emptyMilliseconds);
        }
        running.delete(service);
        return request.leased > 0;
    };

    const request = async (service: string, deadline: number): Promise<boolean> => {
        const peers = pickPeers();
        if (peers.length === 0 || (emptyUntil.get(service) ?? -Infinity) > clock.monotonicNow()) {
            return false;
        }
        const asked = running.get(service) ?? ask(service, peers);
        running.set(service, asked);
        const late = createInterruption();
        const isLeased = await Promise.race([
            asked,
            clock.sleepUntil(deadline, late.signal).then(() => false),
        ]);
        late.interrupt();
        return isLeased;
    };

    const receiveLease = (requestId: number, from: string, count: number) => {
        const answered = requests.get(requestId);
        // A datagram may arrive twice.
        if (!answered?.pending.delete(from)) {
            return;
        }
        if (count > 0 && answered.deadline > clock.monotonicNow()) {
            answered.leased += count;
            budget.addLease(answered.service, count, answered.deadline);
        }
        if (answered.leased > 0 || answered.pending.size === 0) {
            answered.settle();
        }
    };

    const isRegistered = (peerId: string, from: PeerAddress) => {
        const isKnown = options.isRegistered(peerId, from);
        if (!isKnown) {
            options.refreshPeers();
        }
        return isKnown;
    };

    return {
        request,
        receive: (notification, from) => {
            const asked = readRetryLeaseRequest(notification);
            const lease = readRetryLease(notification);
            if (asked && isRegistered(asked.from, from)) {
                const deadline = clock.monotonicNow() + asked.duration;
                const count = budget.lend(asked.service, Math.min(asked.wanted, wantedFromEach), deadline);
                send(from, encodeRetryLease({ from: self.peerId, requestId: asked.requestId, count }));
            }
            if (lease && isRegistered(lease.from, from)) {
                receiveLease(lease.requestId, lease.from, lease.count);
            }
        },
    };
}
