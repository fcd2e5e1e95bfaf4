import { EventKind } from "daisyturn-utils";
import type { ControllerTenure } from "./controllerTenure.js";
import { type OrderContext, StepResult } from "./orderContext.js";
import type { EngineRows } from "./rows/createOrderRecords.js";
import type { WithheldReason } from "./rows/orderRows.js";

/** Records once, in the engine's row, that orders are withheld, so that operators can see it at every entry VM. */
export async function reportWithheld(
    context: OrderContext,
    tenure: ControllerTenure,
    rows: EngineRows,
    reason: WithheldReason,
): Promise<StepResult> {
    if (rows.orders.withheld?.reason === reason) {
        return StepResult.BackOff;
    }
    context.eventLog.record(EventKind.OrderWithheld, {
        engine: rows.engineId,
        order: rows.orders.last?.order.orderId,
        peer: rows.orders.last?.sender.processId,
        reason,
    });
    const withheld = { reason, since: context.clock.wallNow() };
    await context.records.writeEngine(tenure, rows, { orders: { ...rows.orders, withheld } });
    return StepResult.BackOff;
}
