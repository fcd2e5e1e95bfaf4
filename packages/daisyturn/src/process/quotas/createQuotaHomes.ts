import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { PeerExchange } from "../forwarding/coordination/exchange/peerExchange.js";
import type { PeerAddress } from "../forwarding/coordination/peerChannel.js";
import { createHeldHomes } from "./createHeldHomes.js";
import type { PeerContacts } from "./createPeerContacts.js";
import { createRateAnnouncer } from "./createRateAnnouncer.js";
import { createTokenBucket, type TokenAnswer } from "./createTokenBucket.js";
import {
    encodeHoldReply,
    encodeHoldRequest,
    type HoldReply,
    type HoldRequest,
    type KnownQuota,
    type NamedPeer,
} from "./quotaMessages.js";
import { createState, type QuotaState, recordRequest } from "./quotaState.js";
import { compareHomes, rankHomes } from "./rankHomes.js";

/** What {@link createQuotaHomes} needs. */
export interface QuotaHomesOptions {
    readonly peers: Pick<PeerExchange, "self" | "listPeers" | "send">;
    readonly contacts: PeerContacts;
    /** Number of processes in the fleet; undefined while this process has not read the registry. */
    readonly countProcesses: () => number | undefined;
    /** Requests that the registry be read again. */
    readonly refreshPeers: () => void;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Aborted when the process ends. */
    readonly signal: AbortSignal;
}

/** The answer to a request for a token: from the home, or where the home is. */
export interface HomeAnswer extends TokenAnswer {
    readonly home?: NamedPeer;
}

/** The quotas whose home is this process, and those for which it holds another home. */
export interface QuotaHomes {
    take(known: KnownQuota): HomeAnswer;
    receiveHoldRequest(request: HoldRequest, from: PeerAddress): void;
    receiveHoldReply(reply: HoldReply): void;
    /** Number of quotas whose home is this process. */
    count(): number;
}

/** A home is one for this time from when it asked for it. */
const homeMilliseconds = 700;
/**
 * The other process holds the quota for longer, from when it was asked. A process that has just started may have held
 * quotas for others before, so it does nothing during this time.
 */
const heldMilliseconds = 1_000;
const renewalMilliseconds = 200;
const claimIntervalMilliseconds = 120;
/** A process that is asked for the first time reads the registry before it becomes a home. */
const settleMilliseconds = 300;
/** A home that receives no requests ends. */
const idleMilliseconds = 10_000;
/** Time after which a process that knows no home asks again. */
const unknownWaitMilliseconds = 100;

/**
 * Creates the homes of one process. A process becomes the home of a quota if it is the first that responds in the
 * quota's ranking, and if the next one that responds holds the quota for it. Two processes that can't reach each other
 * thus need the same third one, which holds the quota for one of them. A new home starts with an empty bucket.
 */
export function createQuotaHomes(options: QuotaHomesOptions): QuotaHomes {
    const { peers, contacts, countProcesses, refreshPeers, clock, eventLog, signal } = options;
    const { self } = peers;
    const states = new Map<string, QuotaState>();
    const heldHomes = createHeldHomes(clock);
    const announce = createRateAnnouncer(peers, clock);
    const startedAt = clock.monotonicNow();
    let isRenewing = false;

    const isReady = () => clock.monotonicNow() - startedAt >= heldMilliseconds && countProcesses() !== undefined;
    const isHome = (state: QuotaState) => state.homeUntil > clock.monotonicNow();
    const isOther = ({ peerId }: NamedPeer) => peerId !== self.peerId;

    const log = (quota: string, state: QuotaState) => {
        if (isHome(state) !== state.isLogged) {
            state.isLogged = isHome(state);
            eventLog.record(state.isLogged ? EventKind.QuotaHomeTaken : EventKind.QuotaHomeLeft, {
                quota,
                perSecond: state.perSecond,
                share: state.share,
            });
        }
    };

    const becomeHome = (quota: string, state: QuotaState, until: number, share: number) => {
        if (!isHome(state)) {
            state.bucket.current = createTokenBucket(clock.monotonicNow());
        }
        state.homeUntil = Math.max(until, state.homeUntil);
        state.share = share;
        log(quota, state);
    };

    const leave = (quota: string, state: QuotaState) => {
        state.homeUntil = -Infinity;
        log(quota, state);
    };

    /** Without another process that holds the quota, this one may be cut off from a home. */
    const claimAlone = (quota: string, state: QuotaState, listed: number) => {
        if (listed <= 2) {
            becomeHome(quota, state, clock.monotonicNow() + homeMilliseconds, 1 / listed);
        }
    };

    const claim = (quota: string, state: QuotaState) => {
        const now = clock.monotonicNow();
        if (now - state.claimedAt < claimIntervalMilliseconds) {
            return;
        }
        state.claimedAt = now;
        const ranking = rankHomes(quota, peers.listPeers());
        const others = ranking.filter(isOther);
        const witness = others.find(peer => !contacts.isSilent(peer.peerId));
        others.filter(peer => contacts.isSilent(peer.peerId)).slice(0, 2).forEach(contacts.ping);
        if (witness) {
            contacts.recordSent(witness.peerId);
            peers.send(witness, encodeHoldRequest({ from: self.peerId, quota, sentAt: now }));
        }
        else {
            claimAlone(quota, state, ranking.length);
        }
    };

    /** The first process in the ranking that responds. Those before it are asked again whether they do. */
    const findFirst = (quota: string): NamedPeer => {
        const ranking = rankHomes(quota, peers.listPeers());
        const first = ranking.find(peer => !isOther(peer) || !contacts.isSilent(peer.peerId)) ?? self;
        ranking.slice(0, ranking.indexOf(first as typeof self) + 1).filter(isOther).forEach(contacts.ping);
        return first;
    };

    /** Claims the quota, or returns the process that should have it. */
    const pursue = (quota: string, state: QuotaState): NamedPeer | undefined => {
        if (!isReady()) {
            return rankHomes(quota, peers.listPeers()).filter(isOther).find(peer => !contacts.isSilent(peer.peerId));
        }
        const held = heldHomes.find(quota);
        if (held && !isHome(state)) {
            return contacts.isSilent(held.peerId) ? undefined : held;
        }
        const first = isHome(state) ? self : findFirst(quota);
        if (isOther(first)) {
            return first;
        }
        refreshPeers();
        if (isHome(state) || clock.monotonicNow() - state.askedSince >= settleMilliseconds) {
            claim(quota, state);
        }
        return undefined;
    };

    const renew = () => {
        for (const [quota, state] of states) {
            if (clock.monotonicNow() - state.askedAt > idleMilliseconds) {
                leave(quota, state);
                states.delete(quota);
                continue;
            }
            pursue(quota, state);
            log(quota, state);
            if (isHome(state)) {
                announce(quota, state);
            }
        }
    };

    const renewWhileAsked = async () => {
        if (isRenewing) {
            return;
        }
        isRenewing = true;
        while (states.size > 0 && !signal.aborted) {
            await clock.sleepUntil(clock.monotonicNow() + renewalMilliseconds, signal);
            renew();
        }
        isRenewing = false;
    };

    return {
        take: known => {
            const state = states.get(known.quota) ?? createState(clock.monotonicNow());
            states.set(known.quota, state);
            recordRequest(state, known, clock.monotonicNow());
            void renewWhileAsked();
            if (!isHome(state)) {
                const home = pursue(known.quota, state);
                if (!isHome(state)) {
                    return { isGranted: false, wait: unknownWaitMilliseconds, home };
                }
            }
            return state.bucket.current.take(clock.monotonicNow(), state.perSecond * state.share);
        },
        receiveHoldRequest: ({ from: peerId, quota, sentAt }, { host, port }) => {
            const peer = { peerId, host, port };
            const state = states.get(quota);
            const isOwn = state !== undefined && isHome(state);
            const held = isOwn ? self : heldHomes.find(quota);
            const mustYield = held === undefined || held.peerId === peerId
                || (isOwn && compareHomes(quota, peerId, self.peerId) < 0);
            const isHeld = isReady() && mustYield;
            if (isHeld) {
                heldHomes.hold(quota, peer, heldMilliseconds);
                if (state) {
                    leave(quota, state);
                }
            }
            const home = held && { peerId: held.peerId, host: held.host, port: held.port };
            peers.send(
                peer,
                encodeHoldReply({ from: self.peerId, quota, sentAt, isHeld, home: isHeld ? undefined : home }),
            );
        },
        receiveHoldReply: ({ quota, sentAt, isHeld, home }) => {
            const state = states.get(quota);
            if (!state || sentAt > clock.monotonicNow()) {
                return;
            }
            if (isHeld && heldHomes.find(quota) === undefined) {
                becomeHome(quota, state, sentAt + homeMilliseconds, 1);
            }
            else if (!isHeld && home && isOther(home) && !isHome(state) && heldHomes.find(quota) === undefined) {
                // Requests are sent on to that home, which this process can't have seen.
                heldHomes.hold(quota, home, renewalMilliseconds);
            }
        },
        count: () => [...states.values()].filter(isHome).length,
    };
}
