import {
    EngineRole,
    type LoadView,
    OperatorMethod,
    type OperatorRoutes,
    type OrderCommands,
    OrderKind,
} from "daisyturn";
import { FailureReason, notRun, toJson } from "daisyturn-utils";
import { Result } from "true-myth/result";
import { z } from "zod";

/** Options of {@link createOrderRoutes}. */
export interface OrderRoutesOptions {
    readonly commands: OrderCommands;
    readonly loadView: LoadView;
}

const orderSchema = z.strictObject({
    /** Chosen by the client; a repeated request with the same id has no effect. */
    requestId: z.string().min(1).max(64),
    kind: z.enum([OrderKind.ChangeRole, OrderKind.LoadModel, OrderKind.LoadAdapter, OrderKind.LoadVersion]),
    role: z.enum(EngineRole).optional(),
    artifact: z.string().min(1).optional(),
});

const vouchSchema = z.strictObject({
    incarnation: z.string().min(1),
    note: z.string().min(1),
});

/** Creates the operators' routes for the lease, the engines, their orders and vouches. */
export function createOrderRoutes({ commands, loadView }: OrderRoutesOptions): OperatorRoutes {
    return [
        {
            method: OperatorMethod.Get,
            path: "/v1/lease",
            handle: async () => (await commands.showLease()).map(lease => toJson(lease)),
        },
        {
            method: OperatorMethod.Get,
            path: "/v1/engines",
            handle: async () => {
                const orders = await commands.listEngineOrders();
                return orders.map(list => ({
                    loads: loadView.loads().map(load => toJson(load.report() ?? {})),
                    orders: list.map(one => toJson(one)),
                }));
            },
        },
        {
            method: OperatorMethod.Post,
            path: "/v1/engines/:name/orders",
            handle: async request => {
                const body = orderSchema.safeParse(request.body);
                if (!body.success) {
                    return Result.err(notRun(FailureReason.BadRequest, z.prettifyError(body.error)));
                }
                const { partner, name: operator } = request.operator;
                const engineId = request.parameters["name"] ?? "";
                const recorded = await commands.requestOrder({ ...body.data, engineId, partner, operator });
                return recorded.map(order => toJson(order));
            },
        },
        {
            method: OperatorMethod.Get,
            path: "/v1/vouches",
            handle: async () => (await commands.listVouches()).map(list => ({ vouches: list.map(one => toJson(one)) })),
        },
        {
            method: OperatorMethod.Post,
            path: "/v1/vouches",
            handle: async request => {
                const body = vouchSchema.safeParse(request.body);
                if (!body.success) {
                    return Result.err(notRun(FailureReason.BadRequest, z.prettifyError(body.error)));
                }
                const { partner, name: operator } = request.operator;
                const recorded = await commands.vouch({ ...body.data, partner, operator });
                return recorded.map(vouch => toJson(vouch));
            },
        },
    ];
}
