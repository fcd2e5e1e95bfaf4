import { type Engine, type EngineOrder, type EngineState, OrderKind } from "../../../ports/engine.js";
import type { ControllerTenure } from "../controllerTenure.js";
import { type OrderContext, StepResult } from "../orderContext.js";
import { reportWithheld } from "../reportWithheld.js";
import type { EngineRows, EngineWrite } from "../rows/createOrderRecords.js";
import {
    ChangeStage,
    clearWithheld,
    type EngineChange,
    type EngineOrders,
    isOrderOpen,
    OrderRequestState,
    WithheldReason,
} from "../rows/orderRows.js";
import { createOrderDispatcher } from "../sending/createOrderDispatcher.js";
import { createOrderSettler } from "../sending/createOrderSettler.js";
import { createDoubtfulOrderResolver } from "./createDoubtfulOrderResolver.js";
import { createRequestStarter } from "./createRequestStarter.js";
import { evaluateChangeGoal } from "./evaluateChangeGoal.js";
import { isConfigurationCurrent } from "./isConfigurationCurrent.js";
import { type FinishStep, type NextStep, planNextStep, StepKind } from "./planNextStep.js";
import { readEngineState } from "./readEngineState.js";

/** Carries out the changes requested for an engine, one step at a time. */
export interface ChangeDriver {
    /** Performs the next step for the engine, according to its rows. */
    runNextStep(tenure: ControllerTenure, rows: EngineRows): Promise<StepResult>;
}

/** Creates the driver of one process. */
export function createChangeDriver(context: OrderContext): ChangeDriver {
    const { clock, ids, records, quiescer, settings } = context;
    const settler = createOrderSettler(context);
    const dispatcher = createOrderDispatcher(context);
    const starter = createRequestStarter(context);
    const doubtfulOrderResolver = createDoubtfulOrderResolver(context, settler, dispatcher);

    const runNextStep = async (tenure: ControllerTenure, rows: EngineRows): Promise<StepResult> => {
        const { change, last, doubtful } = rows.orders;
        if (change && !isLeftInService(rows.orders)) {
            quiescer.keepClosed(rows.engineId, change.requestId);
        }
        if (isOrderOpen(last)) {
            return settler.settle(tenure, rows, last);
        }
        if (doubtful) {
            return doubtfulOrderResolver.resolve(tenure, rows, doubtful);
        }
        if (change) {
            return advanceChange(tenure, rows, change);
        }
        if (rows.request?.state === OrderRequestState.Requested) {
            return starter.start(tenure, rows, rows.request);
        }
        return StepResult.Idle;
    };

    const advanceChange = async (tenure: ControllerTenure, rows: EngineRows, change: EngineChange) => {
        const engine = context.targetDirectory.engine(rows.engineId);
        const state = engine && await readEngineState(context, engine);
        if (!engine || !state) {
            return handleUnavailableEngine(tenure, rows, change, engine !== undefined);
        }
        if (tenure.isOver()) {
            return StepResult.Wait;
        }
        const step = planNextStep(change, state, {
            refusalReason: evaluateChangeGoal(
                { ...change, engineId: rows.engineId },
                context.configurationManager.current(),
            ),
            areEntryVmsIdle: quiescer.isIdle(rows.engineId, change.requestId),
            isDrainTimeOver: clock.wallNow() >= change.drainDeadline,
            isConfigurationCurrent: isConfigurationCurrent(context, rows),
        });
        return performStep(tenure, rows, change, engine, state, step);
    };

    const performStep = (
        tenure: ControllerTenure,
        rows: EngineRows,
        change: EngineChange,
        engine: Engine,
        state: EngineState,
        step: NextStep,
    ) => {
        switch (step.kind) {
            case StepKind.Wait:
                return Promise.resolve(StepResult.Wait);
            case StepKind.Order:
                return dispatchOrder(tenure, rows, change, engine, state, step.order);
            case StepKind.Abandon:
                return abandon(tenure, rows, change, step.reason);
            case StepKind.Finish:
                return finish(tenure, rows, change, step);
        }
    };

    /** If no order was planned, the engine is unchanged, and the change can end without reading the engine's state. */
    const handleUnavailableEngine = (
        tenure: ControllerTenure,
        rows: EngineRows,
        change: EngineChange,
        isRegistered: boolean,
    ) => {
        const reason = isRegistered ? WithheldReason.EngineUnreachable : WithheldReason.NotRegistered;
        if (change.ordersPlanned === 0 && clock.wallNow() >= change.drainDeadline) {
            return finish(tenure, rows, change, { kind: StepKind.Finish, outcome: OrderRequestState.Failed, reason });
        }
        return reportWithheld(context, tenure, rows, reason);
    };

    const abandon = (tenure: ControllerTenure, rows: EngineRows, change: EngineChange, reason: string) =>
        write(tenure, rows, {
            orders: { ...clearWithheld(rows.orders), change: { ...change, stage: ChangeStage.Abandoning, reason } },
        });

    const finish = async (tenure: ControllerTenure, rows: EngineRows, change: EngineChange, step: FinishStep) => {
        const { request } = rows;
        const isOwnRequest = request?.requestId === change.requestId;
        const result = await write(tenure, rows, {
            orders: { ...clearWithheld(rows.orders), change: undefined },
            request: isOwnRequest
                ? { ...request, state: step.outcome, reason: step.reason, endedAt: clock.wallNow() }
                : undefined,
        });
        if (result === StepResult.Progress) {
            quiescer.release(rows.engineId, change.requestId);
        }
        return result;
    };

    /** Creates the next order of the change, counts it and passes it to the dispatcher. */
    const dispatchOrder = async (
        tenure: ControllerTenure,
        rows: EngineRows,
        change: EngineChange,
        engine: Engine,
        state: EngineState,
        kind: OrderKind,
    ) => {
        const isOwnKind = kind === change.kind;
        const grant = isOwnKind ? await findGrant(change) : noGrant;
        if (!grant) {
            return StepResult.BackOff;
        }
        const order: EngineOrder = {
            orderId: ids.next("ord"),
            kind,
            ...(isOwnKind && { role: change.role, artifact: change.artifact, weightGrantId: grant.grantId }),
            fencingNumber: tenure.lease.fencingNumber,
        };
        const updatedChange: EngineChange = {
            ...change,
            ordersPlanned: change.ordersPlanned + 1,
            tries: change.tries + (isOwnKind ? 1 : 0),
            drainDeadline: isOwnKind ? clock.wallNow() + settings.drainLimitMilliseconds : change.drainDeadline,
        };
        return dispatcher.dispatch(tenure, { rows, change: updatedChange, engine, state, order });
    };

    const findGrant = async (change: EngineChange) => {
        if (change.kind === OrderKind.ChangeRole || change.artifact === undefined) {
            return noGrant;
        }
        const limit = clock.monotonicNow() + settings.callLimitMilliseconds;
        const answer = await context.weightStore.requestLoad(change.artifact, limit);
        return answer.isOk ? answer.value : undefined;
    };

    const write = async (tenure: ControllerTenure, rows: EngineRows, change: EngineWrite) =>
        await records.writeEngine(tenure, rows, change) ? StepResult.Progress : StepResult.Wait;

    return { runNextStep };
}

const noGrant: { readonly grantId?: string; } = {};

/** Whether the engine continues to serve because a drain may still arrive late. */
function isLeftInService({ last, withheld }: EngineOrders): boolean {
    return withheld?.reason === WithheldReason.SenderMayBeAlive && last?.order.kind === OrderKind.Drain;
}
