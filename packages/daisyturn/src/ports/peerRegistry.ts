import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** Another process of the fleet, and where it takes datagrams. */
export interface RegisteredPeer {
    readonly peerId: string;
    /** IP number. */
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
    /** Its share of processor time, in cores. */
    readonly strength: number;
}

/** The processes that are entered. */
export interface PeerListing {
    readonly peers: readonly RegisteredPeer[];
    /** Entries that name no process: of another writer, or damaged. */
    readonly unreadable: number;
}

/** Where the processes of the fleet find each other. Only an adapter knows the wire. */
export abstract class PeerRegistry {
    /** Enters this process, or says that it still runs, and reads who is entered, this process among them. */
    abstract refresh(self: RegisteredPeer, deadline: number): Promise<Result<PeerListing, Failure>>;
    /** Takes this process's entry away. */
    abstract leave(self: RegisteredPeer, deadline: number): Promise<void>;
}
