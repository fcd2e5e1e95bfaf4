import type { Clock } from "daisyturn-utils";
import { ExecutionVerdict } from "daisyturn-utils";
import { type Engine, type EngineOrder, OrderAnswer } from "../../../ports/engine.js";
import type { Lease } from "../../lease/index.js";
import { OrderFate } from "../rows/orderRows.js";

/** An order of this process whose row is not settled yet. */
export interface UnsettledOrder {
    readonly engineId: string;
    readonly orderId: string;
    readonly fate: OrderFate;
}

/** Makes the calls that carry orders, and knows for each order of this process what became of its call. */
export interface OrderSender {
    /** Begins to keep account of an order; to be called before its row is written. */
    prepare(engineId: string, orderId: string): void;
    /** Calls the engine once, unless the lease has run out by now. An order is never called a second time. */
    send(lease: Lease, engine: Engine, order: EngineOrder): Promise<void>;
    /** An order that this process does not know of was not sent by it. */
    fateOf(orderId: string): OrderFate;
    /** Ends the account of an order whose row is settled. */
    forget(orderId: string): void;
    unsettled(): readonly UnsettledOrder[];
}

/** Creates the sender of one process. */
export function createOrderSender(clock: Clock, callLimitMilliseconds: number): OrderSender {
    const orders = new Map<string, UnsettledOrder>();

    const fateOf = (orderId: string) => orders.get(orderId)?.fate ?? OrderFate.NotSent;

    const setFate = (engineId: string, orderId: string, fate: OrderFate) => {
        orders.set(orderId, { engineId, orderId, fate });
    };

    const send = async (lease: Lease, engine: Engine, order: EngineOrder) => {
        // Nothing is awaited between this check and the call. A pause that falls between them, or inside the call, is
        // what fencing numbers and the wait for proof are for.
        if (!lease.isHeld() || fateOf(order.orderId) !== OrderFate.NotSent) {
            return;
        }
        setFate(engine.engineId, order.orderId, OrderFate.UnderWay);
        const deadline = Math.min(clock.monotonicNow() + callLimitMilliseconds, lease.deadline());
        const fate = await call(engine, order, deadline);
        setFate(engine.engineId, order.orderId, fate);
    };

    return {
        prepare: (engineId, orderId) => setFate(engineId, orderId, OrderFate.NotSent),
        send,
        fateOf,
        forget: orderId => orders.delete(orderId),
        unsettled: () => [...orders.values()],
    };
}

async function call(engine: Engine, order: EngineOrder, deadline: number): Promise<OrderFate> {
    const answer = await engine.order(order, deadline);
    if (answer.isErr) {
        return answer.error.verdict === ExecutionVerdict.NotRun ? OrderFate.NotSent : OrderFate.MayBeOnTheWay;
    }
    switch (answer.value) {
        case OrderAnswer.Accepted:
        case OrderAnswer.Repeated:
            return OrderFate.Accepted;
        case OrderAnswer.Busy:
        case OrderAnswer.StaleFencingNumber:
            return OrderFate.Refused;
    }
}
