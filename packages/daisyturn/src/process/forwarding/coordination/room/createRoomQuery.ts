import type { Clock, Random } from "daisyturn-utils";
import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";
import type { Notification } from "../messages/notification.js";
import { encodeRoom, encodeRoomRequest, readRoom, readRoomRequest } from "../messages/roomMessages.js";
import type { PeerAddress } from "../peerChannel.js";

/** What {@link createRoomQuery} needs. */
export interface RoomQueryOptions {
    readonly self: RegisteredPeer;
    /** Lists all known processes, including this one. */
    readonly listPeers: () => readonly RegisteredPeer[];
    /** Whether a process is known under this name at this host. */
    readonly isRegistered: (peerId: string, from: PeerAddress) => boolean;
    /** Fraction of the time in which this process is busy, from 0 to 1. */
    readonly utilization: () => number;
    readonly send: (to: PeerAddress, datagram: Buffer) => void;
    readonly random: Random;
    readonly clock: Clock;
}

/** Finds out whether other processes have room. Nothing is sent while nobody asks. */
export interface RoomQuery {
    /** Whether another process has said a moment ago that it has room. Asks others for the next time. */
    hasRoomElsewhere(): boolean;
    receive(notification: Notification, from: PeerAddress): void;
}

/** A process has room below this utilization, which is lower than the one that it admits new connections up to. */
const roomUtilization = 0.7;
const askIntervalMilliseconds = 250;
/** Longer than the interval, since datagrams may be lost. */
const answerLifetimeMilliseconds = 700;
const askedProcesses = 3;

/** Creates the query of one process. */
export function createRoomQuery(options: RoomQueryOptions): RoomQuery {
    const { self, send, random, clock } = options;
    /** Monotonic times. */
    let roomUntil = -Infinity;
    let askedAt = -Infinity;

    const ask = () => {
        askedAt = clock.monotonicNow();
        const others = options.listPeers().filter(({ peerId }) => peerId !== self.peerId);
        const datagram = encodeRoomRequest({ from: self.peerId });
        for (let count = 0; count < askedProcesses && others.length > 0; count++) {
            const [peer] = others.splice(Math.floor(random.fraction() * others.length), 1);
            if (peer) {
                send(peer, datagram);
            }
        }
    };

    return {
        hasRoomElsewhere: () => {
            if (clock.monotonicNow() - askedAt >= askIntervalMilliseconds) {
                ask();
            }
            return clock.monotonicNow() < roomUntil;
        },
        receive: (notification, from) => {
            const request = readRoomRequest(notification);
            if (request && options.isRegistered(request.from, from)) {
                send(from, encodeRoom({ from: self.peerId, utilization: options.utilization() }));
            }
            const answer = readRoom(notification);
            if (answer && options.isRegistered(answer.from, from) && answer.utilization < roomUtilization) {
                roomUntil = clock.monotonicNow() + answerLifetimeMilliseconds;
            }
        },
    };
}
