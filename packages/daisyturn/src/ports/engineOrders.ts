import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { EngineStage, ListedTarget } from "./listedTarget.js";

/** Status that an engine reports on request. */
export interface EngineStatus {
    /** Identifies the start of the engine that answered; see `ListedTarget.targetId`. */
    readonly targetId: string;
    readonly stage?: EngineStage;
    /** An order is being carried out. */
    readonly isBusy: boolean;
    /** Orders accepted since the engine's start. */
    readonly orders: number;
}

/** An order to an engine to change its stage. */
export interface StageOrder {
    readonly target: ListedTarget;
    readonly stage: EngineStage;
    readonly holder: string;
    readonly fencingNumber: number;
    /** The engine rejects the order unless it has accepted exactly this many orders before. */
    readonly expectedOrders: number;
}

/** Outcome of an order. */
export enum OrderAnswer {
    Accepted = "accepted",
    AlreadyHolds = "already_holds",
    /** Another order was accepted first, or the engine has seen a higher fencing number. */
    Rejected = "rejected",
    /** No answer. The order may be carried out, now or later. */
    Unknown = "unknown",
}

/** An engine's activity, according to its answer. */
export enum EngineActivity {
    /** Requests run or wait there, or the answer does not say. */
    Working = "working",
    /** The engine answered that nothing runs or waits there. */
    Idle = "idle",
    NoAnswer = "no_answer",
}

/** Sends orders to engines. Adapters implement the protocol. */
export abstract class EngineOrders {
    abstract readStatus(target: ListedTarget, deadline: number): Promise<Result<EngineStatus, Failure>>;
    /** @param deadline monotonic time after which an answer is ignored */
    abstract checkActivity(target: ListedTarget, deadline: number): Promise<EngineActivity>;
    abstract changeStage(order: StageOrder, deadline: number): Promise<OrderAnswer>;
}
