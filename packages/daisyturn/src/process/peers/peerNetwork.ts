import type { Failure, JsonObject } from "daisyturn-utils";
import type { Result } from "true-myth/result";

/** Identifies one incarnation of a process. */
export interface ProcessIdentity {
    /** From the settings; the same after a restart. */
    readonly processId: string;
    /** Unique id of the incarnation; later ones of the same process sort after earlier ones as text. */
    readonly incarnation: string;
    readonly vmId: string;
    readonly availabilityZone: string;
    /** `address:port` of the peer listener. */
    readonly peerAddress: string;
}

/** Calls between the processes of a cell. */
export enum PeerMethod {
    Heartbeat = "heartbeat",
    /** Queries when the receiver last had contact with a suspected member. */
    ConfirmSuspicion = "confirm_suspicion",
    /** Announces that the sender leaves the cell. */
    Leave = "leave",
    PushConfiguration = "push_configuration",
    PullConfiguration = "pull_configuration",
    /** Queries what still runs under a retired item of the configuration. */
    AskUsage = "ask_usage",
    /** Publishes the loads and sends of the sender, for routing and for limits that apply to the whole cell. */
    ShareLoad = "share_load",
    /** Requests that no new work is sent to an engine, and queries what still runs there. */
    QuiesceEngine = "quiesce_engine",
    ReleaseEngine = "release_engine",
    /** Queries the state of a claim from its owner. */
    AskClaim = "ask_claim",
    /** Asks to carry a connection to a target, because the sender's own link to it is lost. */
    OpenTunnel = "open_tunnel",
    /** Carries bytes of such a connection; answered once they are passed on. */
    SendThroughTunnel = "send_through_tunnel",
    CloseTunnel = "close_tunnel",
}

/** Presumed state of a member. */
export enum MemberState {
    Alive = "alive",
    /** No message within the time limit; other members are being queried. */
    Suspect = "suspect",
    /** No queried member has contact with it. It may be paused or partitioned, and return. */
    Dead = "dead",
    /** It announced that it leaves. */
    Left = "left",
}

/** A member as this process sees it. */
export interface Member {
    readonly identity: ProcessIdentity;
    readonly state: MemberState;
}

/** Handles a request of a peer. The peer receives a thrown error as a failure with verdict MayHaveRun. */
export type PeerHandler = (from: ProcessIdentity, parameters: JsonObject) => Promise<JsonObject> | JsonObject;

/** Requests and notifications between the processes of a cell. */
export abstract class PeerNetwork {
    abstract readonly self: ProcessIdentity;
    /** Fails with PeerUnavailable: NotRun if nothing was sent, else MayHaveRun. The deadline is monotonic. */
    abstract request(
        processId: string,
        method: PeerMethod,
        parameters: JsonObject,
        deadline: number,
    ): Promise<Result<JsonObject, Failure>>;
    /** Sends without waiting for an answer; the message is lost without notice if the peer can't be reached. */
    abstract notify(processId: string, method: PeerMethod, parameters: JsonObject): void;
    /** Registers the only handler of a method. */
    abstract handle(method: PeerMethod, handler: PeerHandler): void;
}

/** Members of the cell as seen by this process. */
export interface Membership {
    /** Returns every other known process, in any state. */
    others(): readonly Member[];
    /** Returns the other processes that are alive. */
    livePeers(): readonly ProcessIdentity[];
    /** Returns whether an incarnation is proved to have ended: by a newer one, a leave message, or the VM list. */
    hasEnded(identity: ProcessIdentity): boolean;
    /** Returns whether there is contact with a majority of the known members, including this one. */
    hasMajorityContact(): boolean;
    onChange(listener: (member: Member) => void): void;
}
