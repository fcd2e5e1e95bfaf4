import type { Clock } from "daisyturn-utils";
import type { ProcessIdentity } from "../process/peers/index.js";
import type { RpcConnection } from "./rpcConnection.js";

/** A connection whose peer has proved who it is. */
export interface PeerLink {
    readonly peer: ProcessIdentity;
    readonly connection: RpcConnection;
}

/** The proved connections of this process. */
export interface PeerLinks {
    /** False if the peer may not be linked: it bears this process's own id, or a later run of it is linked. */
    add(link: PeerLink): boolean;
    remove(link: PeerLink): void;
    /** The connection to send on. */
    find(processId: string): PeerLink | undefined;
    findByAddress(address: string): PeerLink | undefined;
    all(): readonly PeerLink[];
}

/** Time that the other side has to move over to the newer of two links before the older is closed. */
const overlapMilliseconds = 2_000;

/**
 * Keeps the links. Two processes that dial each other at once get two links. If both sides chose which one stays, they
 * could choose differently and close both; so only the one whose id sorts first chooses: it sends on the newer link and
 * closes the older after a while, and the other sends on that where it last received something.
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
        const over = new AbortController();
        void Promise.race([older.connection.closed, newer.connection.closed]).then(() => over.abort());
        await clock.sleepUntil(clock.monotonicNow() + overlapMilliseconds, over.signal);
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
        return selectsLinkFor(processId) ? open.at(-1) : open.reduce<PeerLink | undefined>(chooseMoreRecent, undefined);
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

function chooseMoreRecent(best: PeerLink | undefined, link: PeerLink): PeerLink {
    const isBetter = best && best.connection.lastReceivedAt() > link.connection.lastReceivedAt();
    return isBetter ? best : link;
}
