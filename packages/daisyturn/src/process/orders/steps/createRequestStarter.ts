import type { ControllerTenure } from "../controllerTenure.js";
import { type OrderContext, StepResult } from "../orderContext.js";
import type { EngineRows, EngineWrite } from "../rows/createOrderRecords.js";
import {
    ChangeStage,
    clearWithheld,
    type EngineChange,
    type OrderRequest,
    OrderRequestState,
} from "../rows/orderRows.js";
import { evaluateChangeGoal } from "./evaluateChangeGoal.js";
import { isConfigurationCurrent } from "./isConfigurationCurrent.js";

/** Starts the change of a request, or closes the request with the reason why it was not started. */
export interface RequestStarter {
    start(tenure: ControllerTenure, rows: EngineRows, request: OrderRequest): Promise<StepResult>;
}

/** Creates the starter of one process. */
export function createRequestStarter(context: OrderContext): RequestStarter {
    const { clock, records, settings } = context;

    const start = async (tenure: ControllerTenure, rows: EngineRows, request: OrderRequest) => {
        if (clock.wallNow() >= request.deadline) {
            return refuse(tenure, rows, request, OrderRequestState.Expired, "not begun in time");
        }
        if (!isConfigurationCurrent(context, rows)) {
            return StepResult.Wait;
        }
        const refusalReason = evaluateChangeGoal(request, context.configurationManager.current());
        if (refusalReason !== undefined) {
            return refuse(tenure, rows, request, OrderRequestState.Refused, refusalReason);
        }
        const change: EngineChange = {
            requestId: request.requestId,
            kind: request.kind,
            role: request.role,
            artifact: request.artifact,
            partner: request.partner,
            stage: ChangeStage.Running,
            drainDeadline: clock.wallNow() + settings.drainLimitMilliseconds,
            ordersPlanned: 0,
            tries: 0,
        };
        return write(tenure, rows, {
            orders: { ...clearWithheld(rows.orders), change },
            request: { ...request, state: OrderRequestState.Running },
            requiresCurrentConfiguration: true,
        });
    };

    const refuse = (
        tenure: ControllerTenure,
        rows: EngineRows,
        request: OrderRequest,
        state: OrderRequestState,
        reason: string,
    ) => {
        const ended = { ...request, state, reason, endedAt: clock.wallNow() };
        return write(tenure, rows, { orders: clearWithheld(rows.orders), request: ended });
    };

    const write = async (tenure: ControllerTenure, rows: EngineRows, change: EngineWrite) =>
        await records.writeEngine(tenure, rows, change) ? StepResult.Progress : StepResult.Wait;

    return { start };
}
