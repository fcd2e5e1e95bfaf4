import { EnginePhase, type EngineState, OrderKind } from "../../../ports/engine.js";
import { isGoalReached } from "../rows/orderEffect.js";
import { ChangeStage, type EngineChange, OrderRequestState } from "../rows/orderRows.js";

/** Kind of the next step of a change. */
export enum StepKind {
    Wait = "wait",
    Order = "order",
    Abandon = "give_up",
    Finish = "finish",
}

/** Read the rows and the engine's state again later. */
export interface WaitStep {
    readonly kind: StepKind.Wait;
}

/** Send an order of this kind. */
export interface OrderStep {
    readonly kind: StepKind.Order;
    readonly order: OrderKind;
}

/** Abandon the change and return the engine to service. */
export interface AbandonStep {
    readonly kind: StepKind.Abandon;
    readonly reason: string;
}

/** The change has ended. */
export interface FinishStep {
    readonly kind: StepKind.Finish;
    readonly outcome: OrderRequestState.Done | OrderRequestState.Failed;
    readonly reason?: string;
}

export type NextStep = WaitStep | OrderStep | AbandonStep | FinishStep;

/** Conditions, besides the engine's state, on which the next step depends. */
export interface ChangeCircumstances {
    /** Why the change must not be continued; undefined if it may. */
    readonly refusalReason?: string;
    /** Whether no entry VM has a call in flight at the engine. */
    readonly areEntryVmsIdle: boolean;
    /** Whether the time limit for the streams to end has passed. */
    readonly isDrainTimeOver: boolean;
    /** Whether the active configuration of this process is the newest accepted one. */
    readonly isConfigurationCurrent: boolean;
}

/** Maximum number of orders of the change's own kind; after that many the change is abandoned. */
const maxAttempts = 3;

const waitStep: WaitStep = { kind: StepKind.Wait };

/**
 * Determines the next step from the current state of the engine, not from earlier steps. A new holder of the lease can
 * thus continue an unfinished change with the same code, and an engine that restarted in between is handled according
 * to its actual state.
 */
export function planNextStep(change: EngineChange, state: EngineState, circumstances: ChangeCircumstances): NextStep {
    if (state.phase === EnginePhase.Changing) {
        return waitStep;
    }
    if (change.stage === ChangeStage.Abandoning) {
        return planReturnToService(change, state);
    }
    if (isGoalReached(change, state) && state.phase === EnginePhase.Serving) {
        return state.draining
            ? orderStep(OrderKind.Resume)
            : { kind: StepKind.Finish, outcome: OrderRequestState.Done };
    }
    return findAbandonReason(change, circumstances) ?? planTowardsGoal(change, state, circumstances);
}

function planReturnToService(change: EngineChange, state: EngineState): NextStep {
    if (state.phase === EnginePhase.Stuck) {
        const reason = `${change.reason}; the engine stopped partway and is stuck`;
        return { kind: StepKind.Finish, outcome: OrderRequestState.Failed, reason };
    }
    if (state.draining) {
        return orderStep(OrderKind.Resume);
    }
    return { kind: StepKind.Finish, outcome: OrderRequestState.Failed, reason: change.reason };
}

function findAbandonReason(change: EngineChange, circumstances: ChangeCircumstances): AbandonStep | undefined {
    if (circumstances.refusalReason !== undefined) {
        return { kind: StepKind.Abandon, reason: circumstances.refusalReason };
    }
    if (change.tries >= maxAttempts) {
        return { kind: StepKind.Abandon, reason: `the engine lost or refused the order ${change.tries} times` };
    }
    if (circumstances.isDrainTimeOver) {
        return { kind: StepKind.Abandon, reason: "the engine was not free, or not changed, in time" };
    }
    return undefined;
}

function planTowardsGoal(change: EngineChange, state: EngineState, circumstances: ChangeCircumstances): NextStep {
    if (!circumstances.isConfigurationCurrent) {
        return waitStep;
    }
    if (state.phase === EnginePhase.Stuck) {
        return orderStep(change.kind);
    }
    if (!state.draining) {
        return orderStep(OrderKind.Drain);
    }
    return isDrained(state) && circumstances.areEntryVmsIdle ? orderStep(change.kind) : waitStep;
}

/** Whether an order would cut no stream: nothing is running or queued, and the engine accepts no new work. */
export function isDrained(state: EngineState): boolean {
    const isClosed = state.draining || state.phase === EnginePhase.Stuck;
    return isClosed && state.runningStreams === 0 && state.queuedRequests === 0;
}

function orderStep(order: OrderKind): OrderStep {
    return { kind: StepKind.Order, order };
}
