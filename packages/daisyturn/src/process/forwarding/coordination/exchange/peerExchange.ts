import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";
import type { Notification } from "../messages/notification.js";
import type { PeerAddress } from "../peerChannel.js";

/** Receives each notification of another process, of any method. */
export type NotificationReceiver = (notification: Notification, from: PeerAddress) => void;

/** Access to the other processes of the fleet, for parts that have messages of their own. */
export interface PeerExchange {
    readonly self: RegisteredPeer;
    /** Lists all known processes, including this one. */
    listPeers(): readonly RegisteredPeer[];
    /** Lists the processes that act as coordinators and standbys of this process's group, and silent ones ahead of them. */
    listGroupCoordinators(): readonly RegisteredPeer[];
    /** Lists the same, and the coordinators and standbys of all other groups. */
    listCoordinators(): readonly RegisteredPeer[];
    /** Whether a process is known under this name at the host of the sender. */
    isKnown(peerId: string, from: PeerAddress): boolean;
    /** Sends a datagram. It may be lost. */
    send(to: PeerAddress, datagram: Buffer): void;
    addReceiver(receiver: NotificationReceiver): void;
}
