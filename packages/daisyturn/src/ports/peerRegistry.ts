import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** A process of the fleet and the address at which it receives datagrams. */
export interface RegisteredPeer {
    readonly peerId: string;
    /** IP address. */
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
    /** Processor time available to the process, in cores. */
    readonly strength: number;
}

/** The registered processes. */
export interface PeerListing {
    readonly peers: readonly RegisteredPeer[];
    /** Number of entries that could not be parsed, because another writer made them or they are damaged. */
    readonly unreadable: number;
}

/** Registry through which the processes of the fleet discover each other. Adapters implement the protocol. */
export abstract class PeerRegistry {
    /** Registers this process or renews its entry, and returns all registered processes, including this one. */
    abstract refresh(self: RegisteredPeer, deadline: number): Promise<Result<PeerListing, Failure>>;
    /** Removes this process's entry. */
    abstract leave(self: RegisteredPeer, deadline: number): Promise<void>;
}
