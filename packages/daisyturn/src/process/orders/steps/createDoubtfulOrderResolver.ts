import { type EngineOrder, EnginePhase, OrderKind } from "../../../ports/engine.js";
import type { ControllerTenure } from "../controllerTenure.js";
import { type OrderContext, StepResult } from "../orderContext.js";
import { reportWithheld } from "../reportWithheld.js";
import type { EngineRows } from "../rows/createOrderRecords.js";
import { clearWithheld, type OrderRecord, WithheldReason } from "../rows/orderRows.js";
import type { OrderDispatcher } from "../sending/createOrderDispatcher.js";
import type { OrderSettler } from "../sending/createOrderSettler.js";
import { readEngineState } from "./readEngineState.js";

/** Resolves a doubtful order of an earlier lease holder at an engine that checks fencing numbers. */
export interface DoubtfulOrderResolver {
    /**
     * Sends an order that does not change the engine's state, so that the engine records the fencing number of this
     * tenure and refuses the doubtful order from then on.
     */
    resolve(tenure: ControllerTenure, rows: EngineRows, doubtful: OrderRecord): Promise<StepResult>;
}

/** Creates the resolver of one process. */
export function createDoubtfulOrderResolver(
    context: OrderContext,
    settler: OrderSettler,
    dispatcher: OrderDispatcher,
): DoubtfulOrderResolver {
    const { ids, records } = context;

    const resolve = async (tenure: ControllerTenure, rows: EngineRows, doubtful: OrderRecord) => {
        const engine = context.targetDirectory.engine(rows.engineId);
        const state = engine && await readEngineState(context, engine);
        if (tenure.isOver()) {
            return StepResult.Wait;
        }
        if (!engine || !state) {
            return reportWithheld(context, tenure, rows, WithheldReason.EngineUnreachable);
        }
        if (settler.isHarmless(rows.engineId, doubtful, state)) {
            const orders = { ...clearWithheld(rows.orders), doubtful: undefined };
            return await records.writeEngine(tenure, rows, { orders }) ? StepResult.Progress : StepResult.Wait;
        }
        if (!settler.checksFencingNumbers(rows.engineId)) {
            return reportWithheld(context, tenure, rows, WithheldReason.SenderMayBeAlive);
        }
        if (state.phase === EnginePhase.Changing) {
            return StepResult.Wait;
        }
        const order: EngineOrder = {
            orderId: ids.next("ord"),
            kind: state.draining ? OrderKind.Drain : OrderKind.Resume,
            fencingNumber: tenure.lease.fencingNumber,
        };
        return dispatcher.dispatch(tenure, { rows, change: rows.orders.change, engine, state, order });
    };

    return { resolve };
}
