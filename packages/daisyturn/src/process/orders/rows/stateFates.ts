import { TransactionOutcome } from "../../../ports/tableService.js";
import type { OrderContext } from "../orderContext.js";
import type { UnsettledOrder } from "../sending/createOrderSender.js";
import { type EngineOrders, isOrderOpen, OrderFate, type OrderRecord } from "./orderRows.js";

const shortestRetryMilliseconds = 500;
const longestRetryMilliseconds = 5_000;

/**
 * Tells the next holder of the lease, through the order rows, what became of the calls that this process made while it
 * held it. A holder that was paused and comes back thereby ends the doubt about its orders without an operator.
 * Goes on until all is told, or nobody needs it any more, or `signal` is aborted.
 */
export async function stateFates(context: OrderContext, signal: AbortSignal): Promise<void> {
    let retryAfter = shortestRetryMilliseconds;
    while (!signal.aborted) {
        const open = context.sender.unsettled();
        const results = await Promise.all(open.map(order => stateFate(context, order)));
        if (results.every(isDone => isDone)) {
            return;
        }
        await context.clock.sleepUntil(context.clock.monotonicNow() + retryAfter, signal);
        retryAfter = Math.min(2 * retryAfter, longestRetryMilliseconds);
    }
}

/** Returns whether nothing is left to say about the order. */
async function stateFate(context: OrderContext, unsettled: UnsettledOrder): Promise<boolean> {
    const { records, sender, clock, settings } = context;
    const { engineId, orderId, fate } = unsettled;
    if (fate === OrderFate.UnderWay) {
        return false;
    }
    const limit = clock.monotonicNow() + settings.callLimitMilliseconds;
    const rows = await records.readEngine(engineId, limit);
    if (rows.isErr) {
        return false;
    }
    const told = addStatement(rows.value.orders, orderId, fate);
    if (told) {
        const answer = await records.writeStatement(rows.value, told, limit);
        if (answer.outcome !== TransactionOutcome.Committed) {
            return false;
        }
    }
    sender.forget(orderId);
    return true;
}

/** The row with the statement; undefined if the row has nothing open of that order. */
function addStatement(orders: EngineOrders, orderId: string, fate: OrderFate): EngineOrders | undefined {
    const { last, doubtful } = orders;
    // Also where it is only planned: the new version of the row shuts out the write that would have marked it as sent,
    // if that one is still on its way to the store.
    if (isOrderOpen(last) && last.order.orderId === orderId) {
        return { ...orders, last: state(last, fate) };
    }
    if (doubtful?.order.orderId === orderId) {
        return { ...orders, doubtful: state(doubtful, fate) };
    }
    return undefined;
}

function state(record: OrderRecord, statement: OrderFate): OrderRecord {
    return { ...record, statement };
}
