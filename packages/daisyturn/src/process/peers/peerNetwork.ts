import type { Failure, JsonObject } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** Names one run of one process. */
export interface ProcessIdentity {
    /** From the settings; the same after a restart. */
    readonly processId: string;
    /** Unique to this run; later runs of the same process sort after earlier ones as text. */
    readonly incarnation: string;
    readonly vmId: string;
    readonly availabilityZone: string;
    /** `address:port` of the peer listener. */
    readonly peerAddress: string;
}

/** Calls between the processes of a cell. */
export enum PeerMethod {
    Heartbeat = "heartbeat",
    /** Asks whether the receiver has heard of a suspected member lately. */
    ConfirmSuspicion = "confirm_suspicion",
    /** Tells that the sender leaves. */
    Leave = "leave",
    PushConfiguration = "push_configuration",
    PullConfiguration = "pull_configuration",
    /** Asks what still runs under an item of the configuration that was retired. */
    AskUsage = "ask_usage",
    /** Tells loads and sends of the sender, for routing and for limits over the cell. */
    ShareLoad = "share_load",
    /** Demands that no new work goes to an engine, and asks what still runs there. */
    QuiesceEngine = "quiesce_engine",
    ReleaseEngine = "release_engine",
    /** Asks the owner of a claim what became of it. */
    AskClaim = "ask_claim",
}

/** What a member is thought to be. */
export enum MemberState {
    Alive = "alive",
    /** Not heard of for a while; others are being asked. */
    Suspect = "suspect",
    /** Not reachable for anybody asked. It may be paused or cut off and come back. */
    Dead = "dead",
    /** It said itself that it leaves. */
    Left = "left",
}

/** A member as this process sees it. */
export interface Member {
    readonly identity: ProcessIdentity;
    readonly state: MemberState;
}

/** Handles a peer's call. A thrown error reaches the caller as a failure that may have run. */
export type PeerHandler = (from: ProcessIdentity, parameters: JsonObject) => Promise<JsonObject> | JsonObject;

/** Calls to and from the other processes of the cell. Fakes join several in one test. */
export abstract class PeerNetwork {
    abstract readonly self: ProcessIdentity;
    /** Fails with PeerUnavailable: NotRun if nothing was sent, else MayHaveRun. The deadline is monotonic. */
    abstract request(
        processId: string,
        method: PeerMethod,
        parameters: JsonObject,
        deadline: number,
    ): Promise<Result<JsonObject, Failure>>;
    /** Sends without waiting; lost without notice if the peer can't be reached. */
    abstract notify(processId: string, method: PeerMethod, parameters: JsonObject): void;
    /** Registers the only handler of a method. */
    abstract handle(method: PeerMethod, handler: PeerHandler): void;
}

/** Who is in the cell, as this process sees it. */
export interface Membership {
    /** Every other process known of, in any state. */
    others(): readonly Member[];
    /** Others that are alive. */
    livePeers(): readonly ProcessIdentity[];
    /** Whether that run of the process is proved to have ended: a newer incarnation, its own leave, or the VM list. */
    hasEnded(identity: ProcessIdentity): boolean;
    /** Whether a majority of the known members, this one included, is heard from. */
    hasMajorityContact(): boolean;
    onChange(listener: (member: Member) => void): void;
}
