import type { EngineOrder, EngineRole, OrderKind } from "../../../ports/engine.js";
import type { ProcessIdentity } from "../../peers/index.js";

/** How far an order has come. An order is open while Planned or Sent, and the next one waits for its end. */
export enum OrderState {
    /** Recorded; certainly not sent. */
    Planned = "planned",
    /** About to be sent, sent, or under way at the engine. */
    Sent = "sent",
    /** Its effect was read from the engine. */
    Confirmed = "confirmed",
    /** It has ended without its effect, or can have none any more. */
    Abandoned = "abandoned",
}

/** What the process that recorded an order knows of the call that carries it. */
export enum OrderCallStatus {
    /** The call was not made and never will be. */
    NotSent = "not_sent",
    /** The call is being made. */
    UnderWay = "under_way",
    Accepted = "accepted",
    /** The engine answered that it did not take the order. */
    Refused = "refused",
    /** The call has ended without an answer; its bytes may still reach the engine. */
    MayBeInFlight = "may_be_on_the_way",
}

/** The last order to an engine, as recorded before it was sent. */
export interface OrderRecord {
    readonly order: EngineOrder;
    readonly state: OrderState;
    readonly sender: ProcessIdentity;
    /** The sender's own word, given after it had lost its authority. */
    readonly statement?: OrderCallStatus;
    /** Incarnation of the engine's process for which the order was meant. */
    readonly engineIncarnation: string;
    /** Wall-clock time in milliseconds. */
    readonly plannedAt: number;
    /** Why it was abandoned. */
    readonly reason?: string;
}

/** Orders that operators and the role planner ask for; the others serve to carry these out. */
export type ChangeKind = Exclude<OrderKind, OrderKind.Drain | OrderKind.Resume>;

/** What an engine is to become. */
export interface ChangeGoal {
    readonly kind: ChangeKind;
    /** With ChangeRole. */
    readonly role?: EngineRole;
    /** With the loads: name of the model, adapter or version. */
    readonly artifact?: string;
}

/** Whether a change is still pursued. */
export enum ChangeStage {
    Running = "running",
    /** It has failed; the engine is being returned to service. */
    Abandoning = "giving_up",
}

/** A change under way: drain, then the order itself, then back to service. */
export interface EngineChange extends ChangeGoal {
    readonly requestId: string;
    readonly stage: ChangeStage;
    /** Absent for the role planner's own changes. */
    readonly partner?: string;
    /** Wall-clock time, in milliseconds, by which the streams must have ended; later the change is given up. */
    readonly drainDeadline: number;
    /** Orders of any kind planned for this change. */
    readonly ordersPlanned: number;
    /** Orders of the change's own kind among them. */
    readonly tries: number;
    /** Why it is given up. */
    readonly reason?: string;
}

/** Why no order is given to an engine at the moment. */
export enum WithheldReason {
    /** The sender of the open order may still be alive and send it late. */
    SenderMayBeAlive = "sender_may_live",
    EngineUnreachable = "engine_unreachable",
    /** The engine is not in the configuration any more. */
    NotRegistered = "not_registered",
    /** The engine has been changing for longer than any change should take. */
    ChangingTooLong = "changing_too_long",
}

/** Tells operators that an engine waits. */
export interface Withheld {
    readonly reason: WithheldReason;
    /** Wall-clock time in milliseconds. */
    readonly since: number;
}

/** Value of an engine's order row; written only under the lease, but for the sender's own word. */
export interface EngineOrders {
    readonly engineId: string;
    readonly change?: EngineChange;
    readonly last?: OrderRecord;
    /**
     * An earlier order that may still reach an engine which checks fencing numbers. It can have no effect once the
     * engine has seen a greater number; until then nothing but an order that raises the number is sent.
     */
    readonly doubtful?: OrderRecord;
    readonly withheld?: Withheld;
}

/** What became of a request. */
export enum OrderRequestState {
    /** Waits for the controller. */
    Requested = "requested",
    Running = "running",
    Done = "done",
    /** Not begun: another partner's hold stands, or the rules forbid it. */
    Refused = "refused",
    /** Begun and given up; the engine was returned to service, unless `reason` says otherwise. */
    Failed = "failed",
    /** Not begun before its deadline. */
    Expired = "expired",
}

/** Value of an engine's request row: the request that is open, or the last one that was. */
export interface OrderRequest extends ChangeGoal {
    /** Chosen by the one who asks; asking again with the same id changes nothing. */
    readonly requestId: string;
    readonly engineId: string;
    /** Absent for the role planner. */
    readonly partner?: string;
    readonly operator?: string;
    readonly state: OrderRequestState;
    /** Wall-clock times in milliseconds. */
    readonly requestedAt: number;
    /** By which it must have begun. */
    readonly deadline: number;
    readonly endedAt?: number;
    readonly reason?: string;
}

/** Value of a row by which an operator takes it on himself that a process run has ended. */
export interface Vouch {
    readonly incarnation: string;
    readonly partner: string;
    readonly operator: string;
    readonly note: string;
    /** Wall-clock time in milliseconds. */
    readonly vouchedAt: number;
}

/** Whether an order may still take effect, as far as its row tells. */
export function isOrderOpen(record: OrderRecord | undefined): record is OrderRecord {
    return record?.state === OrderState.Planned || record?.state === OrderState.Sent;
}

/** The row's value without the note that the engine waits. */
export function clearWithheld(orders: EngineOrders): EngineOrders {
    return { ...orders, withheld: undefined };
}

/** Whether a request still occupies its engine. */
export function isRequestOpen(request: OrderRequest | undefined): request is OrderRequest {
    return request?.state === OrderRequestState.Requested || request?.state === OrderRequestState.Running;
}

/** Start of the keys of all rows about a cell's orders. */
export function orderPrefix(cell: string): string {
    return `orders/${cell}/`;
}

/** Key of an engine's order row. */
export function engineOrdersKey(cell: string, engineId: string): string {
    return `${orderPrefix(cell)}engine/${engineId}`;
}

/** Key of an engine's request row. One for each engine, so that two requests for it can't both be open. */
export function orderRequestKey(cell: string, engineId: string): string {
    return `${orderPrefix(cell)}request/${engineId}`;
}

/** Key of the vouch for the end of a process run. */
export function vouchKey(cell: string, incarnation: string): string {
    return `${orderPrefix(cell)}vouch/${incarnation}`;
}
