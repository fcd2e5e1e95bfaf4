import type { Clock } from "daisyturn-utils";
import type { ProcessIdentity } from "../process/peers/index.js";
import type { RpcConnection } from "./rpcConnection.js";

/** A connection whose peer has proved its identity. */
export interface PeerLink {
    readonly peer: ProcessIdentity;
    readonly connection: RpcConnection;
}

/** The authenticated connections of this process. */
export interface PeerLinks {
    /** False if the peer is refused: it has the id of this process, or a later incarnation of it is linked. */
    add(link: PeerLink): boolean;
    remove(link: PeerLink): void;
    /** Returns the link on which to send. */
    find(processId: string): PeerLink | undefined;
    findByAddress(address: string): PeerLink | undefined;
    all(): readonly PeerLink[];
}

/** Time for the other side to switch to the newer of two links before the older one is closed. */
const overlapMilliseconds = 2_000;

/**
 * Creates the set of links. Two processes that connect to each other simultaneously get two links. If both sides
 * selected the one to retain, they could select different ones and close both. Therefore only the process whose id
 * sorts first selects: it sends on the newer link and closes the older one after {@link overlapMilliseconds}. The other
 * process sends on the link on which it last received something.
 */
export function createPeerLinks(self: ProcessIdentity, clock: Clock): PeerLinks {
    const links = new Map<string, PeerLink[]>();

    const selectsLinkFor = (processId: string) => self.processId < processId;
    const openLinks = (processId: string) => (links.get(processId) ?? []).filter(link => link.connection.isOpen());

    const add = (link: PeerLink): boolean => {
        const { processId, incarnation } = link.peer;
        const present = links.get(processId) ?? [];
        if (processId === self.processId || present.some(other => other.peer.incarnation > incarnation)) {
            return false;
        }
        present.filter(other => other.peer.incarnation !== incarnation)
            .forEach(other => other.connection.destroy("the peer runs under a newer incarnation"));
        links.set(processId, [...present, link]);
        if (selectsLinkFor(processId)) {
            present.forEach(other => void closeAfterOverlap(other, link));
        }
        return true;
    };

    const closeAfterOverlap = async (older: PeerLink, newer: PeerLink) => {
        const closing = new AbortController();
        void Promise.race([older.connection.closed, newer.connection.closed]).then(() => closing.abort());
        await clock.sleepUntil(clock.monotonicNow() + overlapMilliseconds, closing.signal);
        if (newer.connection.isOpen()) {
            older.connection.close();
        }
    };

    const remove = (link: PeerLink) => {
        const { processId } = link.peer;
        links.set(processId, (links.get(processId) ?? []).filter(other => other !== link));
    };

    const find = (processId: string): PeerLink | undefined => {
        const open = openLinks(processId);
        return selectsLinkFor(processId) ? open.at(-1) : open.reduce<PeerLink | undefined>(selectMoreRecent, undefined);
    };

    const all = () => [...links.values()].flat();

    return {
        add,
        remove,
        find,
        findByAddress: address => all().find(link => link.peer.peerAddress === address && link.connection.isOpen()),
        all,
    };
}

function selectMoreRecent(best: PeerLink | undefined, link: PeerLink): PeerLink {
    const isBetter = best && best.connection.lastReceivedAt() > link.connection.lastReceivedAt();
    return isBetter ? best : link;
}
