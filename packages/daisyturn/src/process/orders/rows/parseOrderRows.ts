import type { JsonValue } from "daisyturn-utils";
import { z } from "zod";
import { EngineRole, OrderKind } from "../../../ports/engine.js";
import { processIdentitySchema } from "../../peers/index.js";
import {
    type ChangeKind,
    ChangeStage,
    type EngineOrders,
    OrderCallStatus,
    type OrderRequest,
    OrderRequestState,
    OrderState,
    type Vouch,
    WithheldReason,
} from "./orderRows.js";

const changeKinds = [
    OrderKind.ChangeRole,
    OrderKind.LoadModel,
    OrderKind.LoadAdapter,
    OrderKind.LoadVersion,
] as const satisfies readonly ChangeKind[];

const goalSchema = z.object({
    kind: z.enum(changeKinds),
    role: z.enum(EngineRole).optional(),
    artifact: z.string().optional(),
});

const orderSchema = z.object({
    orderId: z.string(),
    kind: z.enum(OrderKind),
    role: z.enum(EngineRole).optional(),
    artifact: z.string().optional(),
    weightGrantId: z.string().optional(),
    fencingNumber: z.number().int(),
});

const recordSchema = z.object({
    order: orderSchema,
    state: z.enum(OrderState),
    sender: processIdentitySchema(),
    statement: z.enum(OrderCallStatus).optional(),
    engineIncarnation: z.string(),
    plannedAt: z.number(),
    reason: z.string().optional(),
});

const engineOrdersSchema = z.object({
    engineId: z.string(),
    change: goalSchema.extend({
        requestId: z.string(),
        stage: z.enum(ChangeStage),
        partner: z.string().optional(),
        drainDeadline: z.number(),
        ordersPlanned: z.number().int(),
        tries: z.number().int(),
        reason: z.string().optional(),
    }).optional(),
    last: recordSchema.optional(),
    doubtful: recordSchema.optional(),
    withheld: z.object({ reason: z.enum(WithheldReason), since: z.number() }).optional(),
}) satisfies z.ZodType<EngineOrders>;

const orderRequestSchema = goalSchema.extend({
    requestId: z.string(),
    engineId: z.string(),
    partner: z.string().optional(),
    operator: z.string().optional(),
    state: z.enum(OrderRequestState),
    requestedAt: z.number(),
    deadline: z.number(),
    endedAt: z.number().optional(),
    reason: z.string().optional(),
}) satisfies z.ZodType<OrderRequest>;

const vouchSchema = z.object({
    incarnation: z.string(),
    partner: z.string(),
    operator: z.string(),
    note: z.string(),
    vouchedAt: z.number(),
}) satisfies z.ZodType<Vouch>;

/** Parses an order row. Throws if it does not match the schema, since only this code writes such rows. */
export function parseEngineOrders(value: JsonValue): EngineOrders {
    return engineOrdersSchema.parse(value);
}

/** Parses a request row; throws if it does not match the schema. */
export function parseOrderRequest(value: JsonValue): OrderRequest {
    return orderRequestSchema.parse(value);
}

/** Parses a vouch; throws if it does not match the schema. */
export function parseVouch(value: JsonValue): Vouch {
    return vouchSchema.parse(value);
}
