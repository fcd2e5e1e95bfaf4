import type { Clock } from "daisyturn-utils";
import { ExecutionVerdict } from "daisyturn-utils";
import { type Engine, type EngineOrder, OrderAnswer } from "../../../ports/engine.js";
import type { Lease } from "../../lease/index.js";
import { OrderCallStatus } from "../rows/orderRows.js";

/** An order of this process whose row is not settled. */
export interface TrackedOrder {
    readonly engineId: string;
    readonly orderId: string;
    readonly callStatus: OrderCallStatus;
}

/** Makes the calls that carry orders and tracks the call status of each order of this process. */
export interface OrderSender {
    /** Starts to track an order; must be called before its row is written. */
    track(engineId: string, orderId: string): void;
    /** Calls the engine once, unless the lease has expired. An order is never sent a second time. */
    send(lease: Lease, engine: Engine, order: EngineOrder): Promise<void>;
    /** Returns NotSent for an order that is not tracked: this process did not send it. */
    getCallStatus(orderId: string): OrderCallStatus;
    /** Stops tracking an order whose row is settled. */
    untrack(orderId: string): void;
    listTracked(): readonly TrackedOrder[];
}

/** Creates the sender of one process. */
export function createOrderSender(clock: Clock, callLimitMilliseconds: number): OrderSender {
    const orders = new Map<string, TrackedOrder>();

    const getCallStatus = (orderId: string) => orders.get(orderId)?.callStatus ?? OrderCallStatus.NotSent;

    const setCallStatus = (engineId: string, orderId: string, callStatus: OrderCallStatus) => {
        orders.set(orderId, { engineId, orderId, callStatus });
    };

    const send = async (lease: Lease, engine: Engine, order: EngineOrder) => {
        // Nothing is awaited between this check and the call. The process may still be paused between them or during
        // the call; fencing numbers and the wait for proof that the sender has ended cover that case.
        if (!lease.isHeld() || getCallStatus(order.orderId) !== OrderCallStatus.NotSent) {
            return;
        }
        setCallStatus(engine.engineId, order.orderId, OrderCallStatus.UnderWay);
        const deadline = Math.min(clock.monotonicNow() + callLimitMilliseconds, lease.deadline());
        const callStatus = await call(engine, order, deadline);
        setCallStatus(engine.engineId, order.orderId, callStatus);
    };

    return {
        track: (engineId, orderId) => setCallStatus(engineId, orderId, OrderCallStatus.NotSent),
        send,
        getCallStatus,
        untrack: orderId => orders.delete(orderId),
        listTracked: () => [...orders.values()],
    };
}

async function call(engine: Engine, order: EngineOrder, deadline: number): Promise<OrderCallStatus> {
    const answer = await engine.order(order, deadline);
    if (answer.isErr) {
        return answer.error.verdict === ExecutionVerdict.NotRun
            ? OrderCallStatus.NotSent
            : OrderCallStatus.MayBeInFlight;
    }
    switch (answer.value) {
        case OrderAnswer.Accepted:
        case OrderAnswer.Repeated:
            return OrderCallStatus.Accepted;
        case OrderAnswer.Busy:
        case OrderAnswer.StaleFencingNumber:
            return OrderCallStatus.Refused;
    }
}
