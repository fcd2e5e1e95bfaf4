import type { Clock, EventLog } from "daisyturn-utils";
import type { PeerExchange } from "../forwarding/coordination/exchange/peerExchange.js";
import type { Notification } from "../forwarding/coordination/messages/notification.js";
import type { PeerAddress } from "../forwarding/coordination/peerChannel.js";
import { createPeerContacts } from "./createPeerContacts.js";
import { createQuotaHomes } from "./createQuotaHomes.js";
import type { TokenAnswer } from "./createTokenBucket.js";
import {
    type AnnouncedRate,
    encodePing,
    encodeTokenReply,
    encodeTokenRequest,
    isQuotaMessage,
    type KnownQuota,
    type NamedPeer,
    readAnnouncement,
    readHoldReply,
    readHoldRequest,
    readPing,
    readTokenReply,
    readTokenRequest,
    type TokenReply,
} from "./quotaMessages.js";
import { rankHomes } from "./rankHomes.js";

/** What {@link createQuotas} needs. */
export interface QuotasOptions {
    readonly peers: PeerExchange;
    /** Number of processes in the fleet; undefined while this process has not read the registry. */
    readonly countProcesses: () => number | undefined;
    /** Requests that the registry be read again. */
    readonly refreshPeers: () => void;
    /** Receives what another process has learned about a quota. */
    readonly onAnnounced: (rate: AnnouncedRate) => void;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Aborted when the process ends. */
    readonly signal: AbortSignal;
}

/** The answer to a request for a token. */
export interface QuotaAnswer extends TokenAnswer {
    /** Whether no home has answered, so that the wait is only the time until the next request. */
    readonly isUnanswered: boolean;
}

/** Quantities that all processes of the fleet share. Nothing is sent while no process takes a token. */
export interface Quotas {
    /** Takes a token of a quota from its home. Resolves within some 100 ms. */
    take(known: KnownQuota): Promise<QuotaAnswer>;
    /** Number of quotas whose home is this process. */
    countHomes(): number;
}

/** An answer takes a few milliseconds; processes with a fraction of a core are late by tens of milliseconds. */
const answerMilliseconds = 80;
/** An answer to a process that was suspended meanwhile is too old. */
const maxAnswerAgeMilliseconds = 160;
/** Processes that know different homes send a request on to each other. */
const maxHops = 3;
const unansweredWaitMilliseconds = 100;

interface PendingRequest {
    readonly host: string;
    readonly sentAt: number;
    readonly receive: (reply: TokenReply) => void;
}

/** Creates the access of one process to the quotas, and its part in keeping them. */
export function createQuotas(options: QuotasOptions): Quotas {
    const { peers, refreshPeers, onAnnounced, clock } = options;
    const { self } = peers;
    const contacts = createPeerContacts(self.peerId, peers.send, clock);
    const homes = createQuotaHomes({ ...options, contacts });
    const pending = new Map<number, PendingRequest>();
    let lastNumber = 0;

    const findHome = (quota: string): NamedPeer => {
        const ranking = rankHomes(quota, peers.listPeers());
        const isUsable = ({ peerId }: NamedPeer) => peerId === self.peerId || !contacts.isSilent(peerId);
        const index = ranking.findIndex(isUsable);
        ranking.slice(0, Math.max(0, index)).forEach(contacts.ping);
        return ranking[index] ?? self;
    };

    const ask = async (peer: NamedPeer, known: KnownQuota, deadline: number): Promise<TokenReply | undefined> => {
        lastNumber += 1;
        const number = lastNumber;
        const answered = new AbortController();
        const sentAt = clock.monotonicNow();
        let found: TokenReply | undefined;
        pending.set(number, {
            host: peer.host,
            sentAt,
            receive: reply => {
                found = reply;
                answered.abort();
            },
        });
        contacts.recordSent(peer.peerId);
        peers.send(peer, encodeTokenRequest({ ...known, from: self.peerId, number }));
        await clock.sleepUntil(deadline, answered.signal);
        pending.delete(number);
        return found;
    };

    const receiveReply = (reply: TokenReply, from: PeerAddress) => {
        const request = pending.get(reply.number);
        if (request?.host === from.host && clock.monotonicNow() - request.sentAt <= maxAnswerAgeMilliseconds) {
            request.receive(reply);
        }
    };

    const receiveKnown = (notification: Notification, from: PeerAddress) => {
        const request = readTokenRequest(notification);
        if (request) {
            const answer = homes.take(request);
            peers.send(from, encodeTokenReply({ ...answer, from: self.peerId, number: request.number }));
        }
        const reply = readTokenReply(notification);
        if (reply) {
            receiveReply(reply, from);
        }
        const hold = readHoldRequest(notification);
        if (hold) {
            homes.receiveHoldRequest(hold, from);
        }
        const held = readHoldReply(notification);
        if (held) {
            homes.receiveHoldReply(held);
        }
        const ping = readPing(notification);
        if (ping && !ping.isAnswer) {
            peers.send(from, encodePing({ from: self.peerId, isAnswer: true }));
        }
        const announced = readAnnouncement(notification);
        if (announced) {
            onAnnounced(announced);
        }
    };

    peers.addReceiver((notification, from) => {
        if (!isQuotaMessage(notification)) {
            return;
        }
        const { from: peerId } = notification.params;
        if (typeof peerId !== "string" || !peers.isKnown(peerId, from)) {
            // The process may have joined since the registry was read.
            refreshPeers();
            return;
        }
        contacts.recordReceived(peerId);
        receiveKnown(notification, from);
    });

    return {
        take: async known => {
            const deadline = clock.monotonicNow() + answerMilliseconds;
            let home = findHome(known.quota);
            for (let hop = 0; hop < maxHops; hop++) {
                const answer = home.peerId === self.peerId ? homes.take(known) : await ask(home, known, deadline);
                if (answer?.home === undefined || answer.home.peerId === home.peerId) {
                    return answer
                        ? { isGranted: answer.isGranted, wait: answer.wait, isUnanswered: false }
                        : { isGranted: false, wait: unansweredWaitMilliseconds, isUnanswered: true };
                }
                home = answer.home;
            }
            return { isGranted: false, wait: unansweredWaitMilliseconds, isUnanswered: true };
        },
        countHomes: homes.count,
    };
}
