import { EventKind } from "daisyturn-utils";
import { type Engine, type EngineOrder, type EngineState, OrderKind } from "../../../ports/engine.js";
import type { ControllerTenure } from "../controllerTenure.js";
import { type OrderContext, StepResult } from "../orderContext.js";
import type { EngineRows } from "../rows/createOrderRecords.js";
import { clearWithheld, type EngineChange, type OrderRecord, OrderState } from "../rows/orderRows.js";
import { isDrained } from "../steps/planNextStep.js";
import { readEngineState } from "../steps/readEngineState.js";

/** An order and the context in which it is sent. */
export interface Dispatch {
    readonly rows: EngineRows;
    /** The change that the order belongs to, with the order counted; undefined if no change is in progress. */
    readonly change: EngineChange | undefined;
    readonly engine: Engine;
    /** The state of the engine on which the decision was based. */
    readonly state: EngineState;
    readonly order: EngineOrder;
}

/** Records orders and sends them. */
export interface OrderDispatcher {
    /** Records the order as planned, then as sent, and sends it once. The settler determines its outcome. */
    dispatch(tenure: ControllerTenure, dispatch: Dispatch): Promise<StepResult>;
}

/** Creates the dispatcher of one process. */
export function createOrderDispatcher(context: OrderContext): OrderDispatcher {
    const { clock, records, sender, eventLog } = context;

    const dispatch = async (tenure: ControllerTenure, { rows, change, engine, state, order }: Dispatch) => {
        const orders = { ...clearWithheld(rows.orders), change };
        const record = createRecord(order, state);
        // A return to service overrides no hold, so it need not wait for the newest configuration.
        const requiresCurrentConfiguration = order.kind === OrderKind.Drain || order.kind === change?.kind;
        sender.track(rows.engineId, order.orderId);
        const planned = await records.writeEngine(tenure, rows, {
            orders: { ...orders, last: record },
            requiresCurrentConfiguration,
        });
        if (!planned) {
            return StepResult.Wait;
        }
        logOrder(EventKind.OrderPlanned, rows.engineId, order);
        const sent = await records.writeEngine(tenure, planned, {
            orders: { ...orders, last: { ...record, state: OrderState.Sent } },
            requiresCurrentConfiguration,
        });
        if (!sent) {
            // Whether or not the write reached the store, the settler finds that the order was not sent.
            return StepResult.Wait;
        }
        if (order.kind !== change?.kind || await isStillDrained(engine, state)) {
            logOrder(EventKind.OrderSent, rows.engineId, order);
            await sender.send(tenure.lease, engine, order);
        }
        return StepResult.Progress;
    };

    const createRecord = (order: EngineOrder, state: EngineState): OrderRecord => ({
        order,
        state: OrderState.Planned,
        sender: context.self,
        engineIncarnation: state.incarnation,
        plannedAt: clock.wallNow(),
    });

    /** Checks the engine again, as it may have restarted and accepted work while the order was being recorded. */
    const isStillDrained = async (engine: Engine, before: EngineState) => {
        const state = await readEngineState(context, engine);
        return state !== undefined && state.incarnation === before.incarnation && isDrained(state);
    };

    const logOrder = (kind: EventKind, engineId: string, order: EngineOrder) => {
        const { orderId, fencingNumber } = order;
        eventLog.record(kind, { engine: engineId, order: orderId, kind: order.kind, fencing: fencingNumber });
    };

    return { dispatch };
}
