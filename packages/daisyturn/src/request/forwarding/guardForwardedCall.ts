import type { ForwardedCall, HeaderFields, PromptPart } from "../../ports/forwardedCall.js";
import { createGuardedCall, type GuardedCall } from "../../process/crashes/index.js";

/** The fields that two attempts of the same request have in common. */
export type RepeatedFields =
    & Pick<ForwardedCall, "method" | "host" | "url" | "body" | "prompt">
    & CredentialFields;

/** The fields of a call that tell who its caller is. */
type CredentialFields = Pick<ForwardedCall, "forwardedFields" | "credentialFields" | "account">;

/** Fields that tell who the caller is. Its address does not: it may use many, and a proxy's stands for many callers. */
const callerFields: ReadonlySet<string> = new Set(["authorization", "cookie"]);

/** Creates the guarded call of one attempt, which is identified by its caller, path and body. */
export function guardForwardedCall(call: RepeatedFields): GuardedCall {
    return createGuardedCall(
        () => [call.method, call.host, call.url, readCredentials(call)],
        call.body,
        () => listSharedParts(call.prompt?.parts ?? []),
    );
}

/** The last part belongs to the request or its session alone. */
function listSharedParts(parts: readonly PromptPart[]): readonly string[] {
    return parts.slice(0, -1).map(({ partId }) => partId);
}

/** Returns what tells who the caller is. An account has several keys, which change, so its name stands for them. */
export function readCredentials(
    { account, credentialFields = [], forwardedFields }: CredentialFields,
): readonly string[] {
    const values = readCallerValues(forwardedFields);
    return account === undefined
        ? [...readCallerValues(credentialFields), ...values]
        : [`account ${account}`, ...values];
}

function readCallerValues(fields: HeaderFields): readonly string[] {
    return fields.filter((value, index) =>
        index % 2 === 1 && callerFields.has((fields[index - 1] ?? "").toLowerCase())
    );
}
