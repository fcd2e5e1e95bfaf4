import type { EngineOrder, EngineRole, OrderKind } from "../../../ports/engine.js";
import type { ProcessIdentity } from "../../peers/index.js";

/** State of an order. An order is open while Planned or Sent; the next order to the engine waits until it is closed. */
export enum OrderState {
    /** Recorded, and not yet sent. */
    Planned = "planned",
    /** About to be sent, sent, or in progress at the engine. */
    Sent = "sent",
    /** The engine's state has shown the effect of the order. */
    Confirmed = "confirmed",
    /** It ended without effect, or can no longer take effect. */
    Abandoned = "abandoned",
}

/** Status of the call that carries an order, as known to the process that recorded the order. */
export enum OrderCallStatus {
    /** The call was not made and will never be made. */
    NotSent = "not_sent",
    /** The call is being made. */
    UnderWay = "under_way",
    Accepted = "accepted",
    /** The engine answered that it did not accept the order. */
    Refused = "refused",
    /** The call has ended without an answer; its bytes may still reach the engine. */
    MayBeInFlight = "may_be_on_the_way",
}

/** An order to an engine, recorded before it is sent. */
export interface OrderRecord {
    readonly order: EngineOrder;
    readonly state: OrderState;
    readonly sender: ProcessIdentity;
    /** Status of the call as stated by the sender after it lost the lease. */
    readonly statement?: OrderCallStatus;
    /** Incarnation of the engine's process to which the order was addressed. */
    readonly engineIncarnation: string;
    /** Wall-clock time in milliseconds. */
    readonly plannedAt: number;
    /** Why it was abandoned. */
    readonly reason?: string;
}

/** Orders that operators and the role planner request; the other kinds are only used to carry these out. */
export type ChangeKind = Exclude<OrderKind, OrderKind.Drain | OrderKind.Resume>;

/** The requested result of a change. */
export interface ChangeGoal {
    readonly kind: ChangeKind;
    /** Set for ChangeRole. */
    readonly role?: EngineRole;
    /** Set for loads: name of the model, adapter or version. */
    readonly artifact?: string;
}

/** Whether a change is in progress or has been abandoned. */
export enum ChangeStage {
    Running = "running",
    /** It failed; the engine is being returned to service. */
    Abandoning = "giving_up",
}

/** A change in progress: a drain, the order itself, and the return to service. */
export interface EngineChange extends ChangeGoal {
    readonly requestId: string;
    readonly stage: ChangeStage;
    /** Absent for the role planner's own changes. */
    readonly partner?: string;
    /** Wall-clock time in milliseconds by which the streams must have ended; after it the change is abandoned. */
    readonly drainDeadline: number;
    /** Orders of any kind planned for this change. */
    readonly ordersPlanned: number;
    /** Orders of the kind of the change among them. */
    readonly tries: number;
    /** Why it is being abandoned. */
    readonly reason?: string;
}

/** Why no order is sent to an engine at the moment. */
export enum WithheldReason {
    /** The sender of the open order may still be alive and may send it late. */
    SenderMayBeAlive = "sender_may_live",
    EngineUnreachable = "engine_unreachable",
    /** The engine is no longer in the configuration. */
    NotRegistered = "not_registered",
    /** The engine has been changing for longer than `changingLimitMilliseconds`. */
    ChangingTooLong = "changing_too_long",
}

/** Shows operators that orders to an engine are withheld. */
export interface Withheld {
    readonly reason: WithheldReason;
    /** Wall-clock time in milliseconds. */
    readonly since: number;
}

/** Value of an engine's order row. Written only under the lease, except for the sender's own statement. */
export interface EngineOrders {
    readonly engineId: string;
    readonly change?: EngineChange;
    readonly last?: OrderRecord;
    /**
     * An earlier order that may still reach an engine which checks fencing numbers. It can no longer take effect once
     * the engine has seen a greater number; until then only an order that raises the number is sent.
     */
    readonly doubtful?: OrderRecord;
    readonly withheld?: Withheld;
}

export enum OrderRequestState {
    /** Waits for the controller. */
    Requested = "requested",
    Running = "running",
    Done = "done",
    /** Not started: a hold of another partner is active, or the rules forbid the change. */
    Refused = "refused",
    /** Started and abandoned; the engine was returned to service, unless `reason` says otherwise. */
    Failed = "failed",
    /** Not started before its deadline. */
    Expired = "expired",
}

/** Value of an engine's request row: the open request, or the last one that was open. */
export interface OrderRequest extends ChangeGoal {
    /** Chosen by the requester; a repeated request with the same id changes nothing. */
    readonly requestId: string;
    readonly engineId: string;
    /** Absent for the role planner. */
    readonly partner?: string;
    readonly operator?: string;
    readonly state: OrderRequestState;
    /** Wall-clock times in milliseconds. */
    readonly requestedAt: number;
    /** Time by which the change must have been started. */
    readonly deadline: number;
    readonly endedAt?: number;
    readonly reason?: string;
}

/** Value of a row in which an operator confirms that an incarnation of a process has ended. */
export interface Vouch {
    readonly incarnation: string;
    readonly partner: string;
    readonly operator: string;
    readonly note: string;
    /** Wall-clock time in milliseconds. */
    readonly vouchedAt: number;
}

/** Whether an order may still take effect according to its row. */
export function isOrderOpen(record: OrderRecord | undefined): record is OrderRecord {
    return record?.state === OrderState.Planned || record?.state === OrderState.Sent;
}

/** Returns the row's value without `withheld`. */
export function clearWithheld(orders: EngineOrders): EngineOrders {
    return { ...orders, withheld: undefined };
}

/** Whether a request is waiting or running, so that its engine can have no other one. */
export function isRequestOpen(request: OrderRequest | undefined): request is OrderRequest {
    return request?.state === OrderRequestState.Requested || request?.state === OrderRequestState.Running;
}

/** Common prefix of the keys of all rows about a cell's orders. */
export function orderPrefix(cell: string): string {
    return `orders/${cell}/`;
}

/** Key of an engine's order row. */
export function engineOrdersKey(cell: string, engineId: string): string {
    return `${orderPrefix(cell)}engine/${engineId}`;
}

/** Key of an engine's request row. There is one row per engine, so that only one request for it can be open. */
export function orderRequestKey(cell: string, engineId: string): string {
    return `${orderPrefix(cell)}request/${engineId}`;
}

/** Key of the vouch for the end of an incarnation of a process. */
export function vouchKey(cell: string, incarnation: string): string {
    return `${orderPrefix(cell)}vouch/${incarnation}`;
}
