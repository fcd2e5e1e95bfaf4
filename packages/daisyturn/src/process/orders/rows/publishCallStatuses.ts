import { TransactionOutcome } from "../../../ports/tableService.js";
import type { OrderContext } from "../orderContext.js";
import type { TrackedOrder } from "../sending/createOrderSender.js";
import { type EngineOrders, isOrderOpen, OrderCallStatus, type OrderRecord } from "./orderRows.js";

const minRetryMilliseconds = 500;
const maxRetryMilliseconds = 5_000;

/**
 * Writes to the order rows, for the next holder of the lease, the status of the calls that this process made while it
 * held the lease. A holder that resumes after a pause thereby settles its orders without an operator. Retries until
 * every status is written or no longer needed, or `signal` is aborted.
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

/** Returns whether nothing remains to be written about the order. */
async function publishCallStatus(context: OrderContext, trackedOrder: TrackedOrder): Promise<boolean> {
    const { records, sender, clock, settings } = context;
    const { engineId, orderId, callStatus } = trackedOrder;
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

/** Returns the row with the statement, or undefined if the order is neither open nor doubtful in it. */
function addStatement(orders: EngineOrders, orderId: string, callStatus: OrderCallStatus): EngineOrders | undefined {
    const { last, doubtful } = orders;
    // Also written if the order is only planned: the row then has a new version, so that a write that would mark the
    // order as sent fails if it has not reached the store yet.
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
