import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { type EngineOrders, OrderAnswer } from "../../../ports/engineOrders.js";
import type { EngineStage, ListedTarget } from "../../../ports/listedTarget.js";
import type { Lease } from "../../lease/index.js";
import type { ClosedTargets } from "../targets/createClosedTargets.js";
import type { TargetList } from "../targets/createTargetList.js";

/** Changes the stage of engines, and knows which are changing. */
export interface StageChanges {
    /**
     * Closes an engine, orders its change, and reopens it once it has changed or the time for it is over.
     * @param receivesNoWork whether no new work can reach the target, so that the closing wait is skipped
     */
    begin(target: ListedTarget, stage: EngineStage, lease: Lease, receivesNoWork: boolean): Promise<void>;
    /** Whether a change of the engine has begun and not ended. */
    isChanging(engine: ListedTarget): boolean;
    /** Number of engines that count towards the limit of concurrent changes. */
    count(engines: readonly ListedTarget[]): number;
    /** Whether any change has begun and not ended. */
    isAnyChanging(): boolean;
}

/** What {@link createStageChanges} needs. */
export interface StageChangesOptions {
    readonly holder: string;
    readonly targets: TargetList;
    readonly closed: ClosedTargets;
    readonly orders: EngineOrders;
    /** Milliseconds until all processes have been informed that an engine is closed. */
    readonly closingMilliseconds: () => number;
    /** Called after each order. */
    readonly onOrdered: () => void;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly signal: AbortSignal;
}

const callTimeoutMilliseconds = 1_000;
/** A change takes seconds. An engine that has not changed by then is reopened. */
const changeTimeoutMilliseconds = 8_000;
const pollIntervalMilliseconds = 250;
/** After a failed order, the engine is not chosen again for this long, so that other engines come first. */
const failedOrderDelayMilliseconds = 4_000;

export function createStageChanges(options: StageChangesOptions): StageChanges {
    const { targets, closed, orders, clock, eventLog, signal } = options;
    /** Monotonic time until which an engine counts as changing, by its identifier. */
    const changing = new Map<string, number>();

    const begin = async (target: ListedTarget, stage: EngineStage, lease: Lease, receivesNoWork: boolean) => {
        const until = clock.monotonicNow() + changeTimeoutMilliseconds;
        changing.set(target.targetId, until);
        closed.close(target.targetId, until);
        if (!receivesNoWork) {
            await clock.sleepUntil(clock.monotonicNow() + options.closingMilliseconds(), signal);
        }
        const answer = await order(target, stage, lease);
        eventLog.record(EventKind.OrderSent, {
            target: target.targetId,
            stage,
            fencing: lease.fencingNumber,
            outcome: answer,
        });
        options.onOrdered();
        if (answer === OrderAnswer.Accepted || answer === OrderAnswer.Unknown) {
            await waitForStage(target, stage, until);
        }
        closed.reopen(target.targetId);
        if (answer === OrderAnswer.Rejected) {
            // A rejected order does not count towards the limit of concurrent changes.
            changing.set(target.targetId, -Infinity);
        }
        if (answer !== OrderAnswer.Accepted) {
            await clock.sleepUntil(clock.monotonicNow() + failedOrderDelayMilliseconds, signal);
        }
        changing.delete(target.targetId);
    };

    /** The lease is checked last, right before the order is sent. */
    const order = async (target: ListedTarget, stage: EngineStage, lease: Lease): Promise<OrderAnswer> => {
        const status = await orders.readStatus(target, clock.monotonicNow() + callTimeoutMilliseconds);
        // A restarted engine counts its orders from zero; the target list shows the restart soon.
        const isOrderable = status.isOk && status.value.targetId === target.targetId && !status.value.isBusy
            && status.value.stage !== stage;
        if (!isOrderable || !targets.isOpen(target.targetId) || signal.aborted || !lease.isHeld()) {
            return OrderAnswer.Rejected;
        }
        return orders.changeStage({
            target,
            stage,
            holder: options.holder,
            fencingNumber: lease.fencingNumber,
            expectedOrders: status.value.orders,
        }, clock.monotonicNow() + callTimeoutMilliseconds);
    };

    const waitForStage = async (target: ListedTarget, stage: EngineStage, until: number) => {
        const hasChanged = () => targets.find(target.targetId)?.stage === stage;
        while (!hasChanged() && clock.monotonicNow() < until && !signal.aborted) {
            await clock.sleepUntil(clock.monotonicNow() + pollIntervalMilliseconds, signal);
        }
        if (hasChanged()) {
            eventLog.record(EventKind.OrderConfirmed, { target: target.targetId, stage });
        }
    };

    return {
        begin,
        isChanging: ({ targetId }) => changing.has(targetId),
        count: engines => engines.filter(engine => (changing.get(engine.targetId) ?? 0) > clock.monotonicNow()).length,
        isAnyChanging: () => changing.size > 0,
    };
}
