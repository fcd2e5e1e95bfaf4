import { TransactionOutcome } from "../../../ports/tableService.js";
import type { OrderContext } from "../orderContext.js";
import type { TrackedOrder } from "../sending/createOrderSender.js";
import { type EngineOrders, isOrderOpen, OrderCallStatus, type OrderRecord } from "./orderRows.js";

const minRetryMilliseconds = 500;
const maxRetryMilliseconds = 5_000;

/**
 * Tells the next holder of the lease, through the order rows, what became of the calls that this process made while it
 * held it. A holder that was paused and comes back thereby ends the doubt about its orders without an operator.
 * Goes on until all is told, or nobody needs it any more, or `signal` is aborted.
 */
export async function publishCallStatuses(context: OrderContext, signal: AbortSignal): Promise<void> {
    let retryAfter = minRetryMilliseconds;
    while (!signal.aborted) {
        const open = context.sender.listTracked();
        const results = await Promise.all(open.map(order => publishCallStatus(context, order)));
        if (results.every(isDone => isDone)) {
            return;
        }
        await context.clock.sleepUntil(context.clock.monotonicNow() + retryAfter, signal);
        retryAfter = Math.min(2 * retryAfter, maxRetryMilliseconds);
    }
}

/** Returns whether nothing is left to say about the order. */
async function publishCallStatus(context: OrderContext, unsettled: TrackedOrder): Promise<boolean> {
    const { records, sender, clock, settings } = context;
    const { engineId, orderId, callStatus } = unsettled;
    if (callStatus === OrderCallStatus.UnderWay) {
        return false;
    }
    const limit = clock.monotonicNow() + settings.callLimitMilliseconds;
    const rows = await records.readEngine(engineId, limit);
    if (rows.isErr) {
        return false;
    }
    const updated = addStatement(rows.value.orders, orderId, callStatus);
    if (updated) {
        const answer = await records.writeStatement(rows.value, updated, limit);
        if (answer.outcome !== TransactionOutcome.Committed) {
            return false;
        }
    }
    sender.untrack(orderId);
    return true;
}

/** The row with the statement; undefined if the row has nothing open of that order. */
function addStatement(orders: EngineOrders, orderId: string, callStatus: OrderCallStatus): EngineOrders | undefined {
    const { last, doubtful } = orders;
    // Also where it is only planned: the new version of the row shuts out the write that would have marked it as sent,
    // if that one is still on its way to the store.
    if (isOrderOpen(last) && last.order.orderId === orderId) {
        return { ...orders, last: withStatement(last, callStatus) };
    }
    if (doubtful?.order.orderId === orderId) {
        return { ...orders, doubtful: withStatement(doubtful, callStatus) };
    }
    return undefined;
}

function withStatement(record: OrderRecord, statement: OrderCallStatus): OrderRecord {
    return { ...record, statement };
}
