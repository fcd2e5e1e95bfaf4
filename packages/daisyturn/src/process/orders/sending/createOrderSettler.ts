import { EventKind } from "daisyturn-utils";
import { EnginePhase, type EngineState, OrderKind } from "../../../ports/engine.js";
import type { ControllerTenure } from "../controllerTenure.js";
import { type OrderContext, StepResult } from "../orderContext.js";
import { reportWithheld } from "../reportWithheld.js";
import type { EngineRows } from "../rows/createOrderRecords.js";
import { determineProgress, isGoalReached, OrderProgress } from "../rows/orderEffect.js";
import {
    clearWithheld,
    type EngineOrders,
    OrderCallStatus,
    type OrderRecord,
    OrderState,
    WithheldReason,
} from "../rows/orderRows.js";

/** Closes open orders: those of this process and those of earlier holders of the lease. */
export interface OrderSettler {
    /** Performs the next step towards closing the engine's open order. */
    settle(tenure: ControllerTenure, rows: EngineRows, record: OrderRecord): Promise<StepResult>;
    /** Whether a doubtful order can no longer take effect, given the current state of the engine. */
    isHarmless(engineId: string, record: OrderRecord, state: EngineState): boolean;
    /** Whether the engine is configured as refusing orders with an old fencing number. False if not configured. */
    checksFencingNumbers(engineId: string): boolean;
}

/** Creates the settler of one process. */
export function createOrderSettler(context: OrderContext): OrderSettler {
    const { clock, records, sender, settings, eventLog } = context;
    /** Monotonic times at which it was first known that an order will no longer be sent, by order id. */
    const callEndedAt = new Map<string, number>();
    /** Monotonic times at which an order was first seen pending at the engine, by order id. */
    const pendingSince = new Map<string, number>();

    const settle = async (tenure: ControllerTenure, rows: EngineRows, record: OrderRecord) => {
        const callStatus = record.state === OrderState.Planned ? OrderCallStatus.NotSent : findCallStatus(record);
        switch (callStatus) {
            case OrderCallStatus.NotSent:
                return close(tenure, rows, record, OrderState.Abandoned, "not sent");
            case OrderCallStatus.Refused:
                return close(tenure, rows, record, OrderState.Abandoned, "refused by the engine");
            case OrderCallStatus.UnderWay:
                return StepResult.Wait;
            default:
                return settleSent(tenure, rows, record, callStatus);
        }
    };

    /** Returns the call status as known to the order's sender; undefined if the sender has not stated it. */
    const findCallStatus = (record: OrderRecord): OrderCallStatus | undefined => {
        const isOwn = record.sender.incarnation === context.self.incarnation;
        return record.statement ?? (isOwn ? sender.getCallStatus(record.order.orderId) : undefined);
    };

    const settleSent = async (
        tenure: ControllerTenure,
        rows: EngineRows,
        record: OrderRecord,
        callStatus: OrderCallStatus | undefined,
    ) => {
        const engine = context.targetDirectory.engine(rows.engineId);
        if (!engine) {
            return reportWithheld(context, tenure, rows, WithheldReason.NotRegistered);
        }
        const requestedAt = clock.monotonicNow();
        const answer = await engine.readState(requestedAt + settings.callLimitMilliseconds);
        if (tenure.isOver()) {
            return StepResult.Wait;
        }
        if (answer.isErr) {
            return reportWithheld(context, tenure, rows, WithheldReason.EngineUnreachable);
        }
        const state = answer.value;
        if (callStatus === OrderCallStatus.Accepted || state.lastOrderId === record.order.orderId) {
            return settleReceived(tenure, rows, record, state);
        }
        return settleUncertain(tenure, rows, record, state, requestedAt);
    };

    const settleReceived = (tenure: ControllerTenure, rows: EngineRows, record: OrderRecord, state: EngineState) => {
        switch (determineProgress(record, state)) {
            case OrderProgress.Done:
                return close(tenure, rows, record, OrderState.Confirmed);
            case OrderProgress.Lost:
                return close(tenure, rows, record, OrderState.Abandoned, `lost by the engine (${state.phase})`);
            case OrderProgress.Pending:
                return waitForEffect(tenure, rows, record, state);
        }
    };

    const waitForEffect = async (
        tenure: ControllerTenure,
        rows: EngineRows,
        record: OrderRecord,
        state: EngineState,
    ) => {
        const since = getOrRecordTime(pendingSince, record, clock.monotonicNow());
        if (clock.monotonicNow() - since < settings.changingLimitMilliseconds) {
            return StepResult.Wait;
        }
        if (state.phase === EnginePhase.Changing) {
            return reportWithheld(context, tenure, rows, WithheldReason.ChangingTooLong);
        }
        return close(tenure, rows, record, OrderState.Abandoned, "taken by the engine, without effect");
    };

    /** Settles an order that the engine's state does not show and that is not known to be unsent. */
    const settleUncertain = async (
        tenure: ControllerTenure,
        rows: EngineRows,
        record: OrderRecord,
        state: EngineState,
        requestedAt: number,
    ) => {
        if (checksFencingNumbers(rows.engineId) && record.order.fencingNumber < tenure.lease.fencingNumber) {
            return setAsDoubtful(tenure, rows, record);
        }
        if (!isCallEnded(record)) {
            keepInService(rows, record, state);
            return reportWithheld(context, tenure, rows, WithheldReason.SenderMayBeAlive);
        }
        if (!isInFlightTimeOver(record, requestedAt)) {
            return StepResult.Wait;
        }
        const isDone = isGoalReached(record.order, state) && state.phase === EnginePhase.Serving;
        return isDone
            ? close(tenure, rows, record, OrderState.Confirmed)
            : close(tenure, rows, record, OrderState.Abandoned, "never reached the engine");
    };

    /** A drain that arrives late cuts no stream, so the engine may serve until the order is settled. */
    const keepInService = (rows: EngineRows, record: OrderRecord, state: EngineState) => {
        const { change } = rows.orders;
        if (change && record.order.kind === OrderKind.Drain && !state.draining) {
            context.quiescer.release(rows.engineId, change.requestId);
        }
    };

    // Of two doubtful orders the one with the greater number is recorded: a number that exceeds it exceeds both.
    const setAsDoubtful = (tenure: ControllerTenure, rows: EngineRows, record: OrderRecord) => {
        const earlier = rows.orders.doubtful;
        const isNewer = !earlier || earlier.order.fencingNumber < record.order.fencingNumber;
        const orders = { ...rows.orders, doubtful: isNewer ? record : earlier };
        return close(tenure, { ...rows, orders }, record, OrderState.Abandoned, "in doubt, to be overtaken");
    };

    const isHarmless = (engineId: string, record: OrderRecord, state: EngineState) =>
        checksFencingNumbers(engineId)
            ? (state.highestFencingNumber ?? 0) > record.order.fencingNumber
            : isCallEnded(record) && isInFlightTimeOver(record, clock.monotonicNow());

    const checksFencingNumbers = (engineId: string) =>
        context.configurationManager.current().findTarget(engineId)?.checksFencingNumbers === true;

    const isCallEnded = (record: OrderRecord) => {
        const hasEnded = findCallStatus(record) === OrderCallStatus.MayBeInFlight
            || context.membership.hasEnded(record.sender)
            || context.isVouched(record.sender.incarnation);
        if (hasEnded) {
            getOrRecordTime(callEndedAt, record, clock.monotonicNow());
        }
        return hasEnded;
    };

    /** Whether all bytes of the order's call had arrived or were lost at the monotonic time `moment`. */
    const isInFlightTimeOver = (record: OrderRecord, moment: number) => {
        const since = callEndedAt.get(record.order.orderId) ?? moment;
        return moment - since >= settings.bytesInFlightMilliseconds;
    };

    const close = async (
        tenure: ControllerTenure,
        rows: EngineRows,
        record: OrderRecord,
        state: OrderState.Confirmed | OrderState.Abandoned,
        reason?: string,
    ) => {
        const orders: EngineOrders = { ...clearWithheld(rows.orders), last: { ...record, state, reason } };
        const { orderId, kind, fencingNumber } = record.order;
        if (!await records.writeEngine(tenure, rows, { orders })) {
            return StepResult.Wait;
        }
        const event = state === OrderState.Confirmed ? EventKind.OrderConfirmed : EventKind.OrderAbandoned;
        eventLog.record(event, {
            engine: rows.engineId,
            order: orderId,
            kind,
            fencing: fencingNumber,
            reason,
            withheldFor: rows.orders.withheld?.reason,
        });
        sender.untrack(orderId);
        callEndedAt.delete(orderId);
        pendingSince.delete(orderId);
        return state === OrderState.Confirmed ? StepResult.Progress : StepResult.BackOff;
    };

    return { settle, isHarmless, checksFencingNumbers };
}

function getOrRecordTime(times: Map<string, number>, record: OrderRecord, now: number): number {
    const first = times.get(record.order.orderId) ?? now;
    times.set(record.order.orderId, first);
    return first;
}
