import type { Clock } from "daisyturn-utils";
import { encodePing, type NamedPeer } from "./quotaMessages.js";

/** Which processes answer the messages about quotas. */
export interface PeerContacts {
    recordSent(peerId: string): void;
    recordReceived(peerId: string): void;
    /** Whether a process has left several messages unanswered. */
    isSilent(peerId: string): boolean;
    /** Asks a process whether it responds, unless that was done a moment ago. */
    ping(peer: NamedPeer): void;
}

interface Contact {
    /** Monotonic times. */
    unansweredSince: number | undefined;
    sentAt: number;
    unanswered: number;
    pingedAt: number;
}

const silentMilliseconds = 450;
/** A single datagram may be lost. */
const minUnanswered = 3;
const pingMilliseconds = 150;
/** What was left unanswered before such a pause says nothing about now. */
const forgottenMilliseconds = 1_500;

export function createPeerContacts(
    selfId: string,
    send: (to: NamedPeer, datagram: Buffer) => void,
    clock: Clock,
): PeerContacts {
    const contacts = new Map<string, Contact>();

    const find = (peerId: string): Contact => {
        const now = clock.monotonicNow();
        const known = contacts.get(peerId);
        if (known && (known.unanswered === 0 || now - known.sentAt <= forgottenMilliseconds)) {
            return known;
        }
        const contact = { unansweredSince: undefined, sentAt: -Infinity, unanswered: 0, pingedAt: -Infinity };
        contacts.set(peerId, contact);
        return contact;
    };

    const recordSent = (peerId: string) => {
        const contact = find(peerId);
        contact.sentAt = clock.monotonicNow();
        contact.unansweredSince ??= contact.sentAt;
        contact.unanswered += 1;
    };

    return {
        recordSent,
        recordReceived: peerId => {
            const contact = find(peerId);
            contact.unansweredSince = undefined;
            contact.unanswered = 0;
        },
        isSilent: peerId => {
            const { unansweredSince, unanswered } = find(peerId);
            return unanswered >= minUnanswered && unansweredSince !== undefined
                && clock.monotonicNow() - unansweredSince > silentMilliseconds;
        },
        ping: peer => {
            const contact = find(peer.peerId);
            if (clock.monotonicNow() - contact.pingedAt >= pingMilliseconds) {
                contact.pingedAt = clock.monotonicNow();
                recordSent(peer.peerId);
                send(peer, encodePing({ from: selfId, isAnswer: false }));
            }
        },
    };
}
