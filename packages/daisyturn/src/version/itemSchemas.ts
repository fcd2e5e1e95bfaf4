import { z } from "zod";
import { EngineRole, Priority } from "../ports/engine.js";
import { ChangeAction, type ItemChange } from "./configurationChange.js";
import { HoldKind, ItemKind, ServiceKind, TargetKind } from "./configurationItems.js";

/** Applies to names of items and partners, and keeps the keys of rows short. */
const maxNameLength = 63;
const maxTextLength = 500;
const maxReferences = 1_000;
/** One day. A longer limit is almost certainly given in the wrong unit. */
const maxLimitMilliseconds = 86_400_000;
/** Each step writes a row, and table services commonly accept at most 100 rows per transaction. */
const maxChanges = 90;

/** Lower-case letters, digits, `-` and `.`, as in host names. */
const nameSchema = z.string().max(maxNameLength).regex(
    /^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/,
    "must consist of lower-case letters, digits, - and ., and begin and end with a letter or digit",
);
const textSchema = z.string().min(1).max(maxTextLength);
const limitSchema = z.number().int().positive().max(maxLimitMilliseconds);
const namesSchema = z.array(nameSchema).max(maxReferences);
const pathSchema = z.string().max(maxTextLength).regex(/^\/\S*$/, "must begin with a slash and hold no space");

const profileSchema = z.strictObject({
    kind: z.literal(ItemKind.Profile),
    partner: nameSchema,
    name: nameSchema,
    model: textSchema,
    adapter: textSchema.optional(),
    priority: z.enum(Priority),
    firstTokenLimitMilliseconds: limitSchema,
    betweenTokensLimitMilliseconds: limitSchema,
    totalLimitMilliseconds: limitSchema,
    maxOutputTokens: z.number().int().positive(),
    goodputWorth: z.number().nonnegative(),
    roleChangeCost: z.number().nonnegative(),
});

const routeSchema = z.strictObject({
    method: z.string().regex(/^[A-Z]{1,20}$/, "must be an HTTP method in capital letters"),
    pathPrefix: pathSchema,
    idempotent: z.boolean(),
});

const serviceSchema = z.strictObject({
    kind: z.literal(ItemKind.Service),
    partner: nameSchema,
    name: nameSchema,
    serviceKind: z.enum(ServiceKind),
    profile: nameSchema.optional(),
    targets: namesSchema.optional(),
    routes: z.array(routeSchema).max(maxReferences).optional(),
    callLimitMilliseconds: limitSchema.optional(),
});

const accountSchema = z.strictObject({
    kind: z.literal(ItemKind.CallerAccount),
    partner: nameSchema,
    name: nameSchema,
    keyHash: z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 in 64 lower-case hexadecimal digits"),
    services: namesSchema,
    requestsPerSecond: z.number().positive(),
    concurrentRequests: z.number().int().positive(),
});

export const holdSchema = z.strictObject({
    kind: z.literal(ItemKind.Hold),
    partner: nameSchema,
    name: nameSchema,
    holdKind: z.enum(HoldKind),
    replacement: nameSchema.optional(),
    note: textSchema.optional(),
});

const targetSchema = z.strictObject({
    kind: z.literal(ItemKind.Target),
    partner: nameSchema,
    name: nameSchema,
    targetKind: z.enum(TargetKind),
    url: z.string().max(maxTextLength).regex(/^https?:\/\/\S+$/, "must begin with http:// or https://"),
    availabilityZone: textSchema,
    checksFencingNumbers: z.boolean().optional(),
    allowedRoles: z.array(z.enum(EngineRole)).min(1).optional(),
    models: z.array(textSchema).max(maxReferences).optional(),
});

const shareSchema = z.strictObject({
    kind: z.literal(ItemKind.Share),
    partner: nameSchema,
    name: z.literal("share"),
    weight: z.number().positive(),
});

/** Schema of an item. An unknown field is an error, because it is usually a misspelled one. */
export const itemSchema = z.discriminatedUnion("kind", [
    profileSchema,
    serviceSchema,
    accountSchema,
    holdSchema,
    targetSchema,
    shareSchema,
]);

export const identitySchema = z.strictObject({ kind: z.enum(ItemKind), partner: nameSchema, name: nameSchema });

/** Schema of the steps of a change. */
export const changesSchema: z.ZodType<ItemChange[]> = z.array(z.discriminatedUnion("action", [
    z.strictObject({ action: z.literal(ChangeAction.Put), item: itemSchema }),
    z.strictObject({ action: z.literal(ChangeAction.Remove), identity: identitySchema }),
])).min(1).max(maxChanges);

/** Schema of the id that the operator's client chooses. The id becomes part of a row's key. */
export const writeIdSchema = z.string().regex(
    /^[A-Za-z0-9._-]{1,100}$/,
    "must consist of 1 to 100 letters, digits, ., _ and -",
);

/** Schema of the body of a change request. Partner and operator are derived from the operator's key. */
export const changeBodySchema = z.strictObject({
    writeId: writeIdSchema,
    changes: changesSchema,
    expectedGeneration: z.number().int().nonnegative().optional(),
});

/** Describes the first problem that zod found, with its path. */
export function describeProblem(error: z.ZodError): string {
    const issue = error.issues[0];
    const path = issue?.path.join(".") ?? "";
    return `${path === "" ? "the whole" : path}: ${issue?.message ?? "not valid"}`;
}
