import { type EngineOrder, EnginePhase, type EngineState, OrderKind } from "../../../ports/engine.js";
import type { OrderRecord } from "./orderRows.js";

/** Progress of an order that an engine has received, as shown by the engine's state. */
export enum OrderProgress {
    Pending = "pending",
    Done = "done",
    /** The engine restarted, or stopped during the change: the order will not be completed. */
    Lost = "lost",
}

/** Whether the engine is in the state that an order is to bring about. */
export function isGoalReached(goal: Pick<EngineOrder, "kind" | "role" | "artifact">, state: EngineState): boolean {
    switch (goal.kind) {
        case OrderKind.ChangeRole:
            return state.role === goal.role;
        case OrderKind.LoadModel:
            return state.models.includes(goal.artifact ?? "");
        case OrderKind.LoadAdapter:
            return state.adapters.includes(goal.artifact ?? "");
        case OrderKind.LoadVersion:
            return state.version === goal.artifact;
        case OrderKind.Drain:
            return state.draining;
        case OrderKind.Resume:
            return !state.draining;
    }
}

/** Determines the progress of an order that the engine has accepted from the state that the engine reports. */
export function determineProgress(record: OrderRecord, state: EngineState): OrderProgress {
    if (state.phase === EnginePhase.Changing) {
        return OrderProgress.Pending;
    }
    if (state.phase === EnginePhase.Serving && isGoalReached(record.order, state)) {
        return OrderProgress.Done;
    }
    const isForgotten = state.lastOrderId !== record.order.orderId;
    const isLost = state.phase === EnginePhase.Stuck || isForgotten || state.incarnation !== record.engineIncarnation;
    return isLost ? OrderProgress.Lost : OrderProgress.Pending;
}
