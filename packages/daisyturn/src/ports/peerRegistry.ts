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
    /** Why the entry of this process could not be written; absent if it is up to date. */
    readonly writeFailure?: Failure;
}

/** Registry through which the processes of the fleet discover each other. Adapters implement the protocol. */
export abstract class PeerRegistry {
    /**
     * Registers this process or renews its entry, and returns all registered processes, this one once it is registered. Each
     * process has to call it every few minutes, or its entry counts as that of a process that has ended.
     */
    abstract refresh(self: RegisteredPeer, deadline: number): Promise<Result<PeerListing, Failure>>;
    /** Removes this process's entry. */
    abstract leave(self: RegisteredPeer, deadline: number): Promise<void>;
}
