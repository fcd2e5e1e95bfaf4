import { EnginePhase, type EngineState, OrderKind } from "../../../ports/engine.js";
import { isGoalReached } from "../rows/orderEffect.js";
import { ChangeStage, type EngineChange, OrderRequestState } from "../rows/orderRows.js";

/** What to do next for a change. */
export enum StepKind {
    Wait = "wait",
    Order = "order",
    Abandon = "give_up",
    Finish = "finish",
}

/** Look again later. */
export interface WaitStep {
    readonly kind: StepKind.Wait;
}

/** Give this order. */
export interface OrderStep {
    readonly kind: StepKind.Order;
    readonly order: OrderKind;
}

/** Return the engine to service without the change. */
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

/** One of the steps. */
export type NextStep = WaitStep | OrderStep | AbandonStep | FinishStep;

/** What decides beside the engine's state. */
export interface ChangeCircumstances {
    /** Why the change must not go on, if something has come up. */
    readonly refusalReason?: string;
    /** Whether no entry VM has anything under way at the engine. */
    readonly areEntryVmsIdle: boolean;
    /** Whether the time for the streams to end is over. */
    readonly isDrainTimeOver: boolean;
    /** Whether the configuration in force here is the newest accepted one. */
    readonly isConfigurationCurrent: boolean;
}

/** Times that an order is given anew after the engine lost it. */
const maxAttempts = 3;

const waitStep: WaitStep = { kind: StepKind.Wait };

/**
 * Decides from what the engine is now, not from what was done before: so a new holder of the lease goes on with a
 * half-done change by the same code, and an engine that restarts midway is met as it is.
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

/** Whether an order would cut no stream: nothing runs, and the engine itself lets nothing in. */
export function isDrained(state: EngineState): boolean {
    const isClosed = state.draining || state.phase === EnginePhase.Stuck;
    return isClosed && state.runningStreams === 0 && state.queuedRequests === 0;
}

function orderStep(order: OrderKind): OrderStep {
    return { kind: StepKind.Order, order };
}
