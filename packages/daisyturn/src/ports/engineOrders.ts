import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { EngineStage, ListedTarget } from "./listedTarget.js";

/** What an engine says of itself when asked. */
export interface EngineStatus {
    /** Which start of the engine has answered; see `ListedTarget.targetId`. */
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
    /** The order holds only if the engine has accepted so many before. */
    readonly expectedOrders: number;
}

/** How an engine answered an order. */
export enum OrderAnswer {
    Accepted = "accepted",
    AlreadyHolds = "already_holds",
    /** Another order came first, or a holder with a higher fencing number gives them now. */
    Rejected = "rejected",
    /** No answer: the order may be carried out, now or later. */
    Unknown = "unknown",
}

/** What an engine is doing, as far as its answer tells. */
export enum EngineActivity {
    /** It has requests that run or wait, or has answered without telling. */
    Working = "working",
    /** It has answered, and nothing runs or waits there. */
    Idle = "idle",
    NoAnswer = "no_answer",
}

/** Gives orders to engines. Only an adapter knows the wire. */
export abstract class EngineOrders {
    abstract readStatus(target: ListedTarget, deadline: number): Promise<Result<EngineStatus, Failure>>;
    /** @param deadline monotonic time until which an answer counts */
    abstract checkActivity(target: ListedTarget, deadline: number): Promise<EngineActivity>;
    abstract changeStage(order: StageOrder, deadline: number): Promise<OrderAnswer>;
}
