import type { ForwardedCall, HeaderFields, PromptPart } from "../../ports/forwardedCall.js";
import { createGuardedCall, type GuardedCall } from "../../process/crashes/index.js";

/** The fields that two attempts of the same request have in common. */
export type RepeatedFields = Pick<ForwardedCall, "method" | "host" | "url" | "forwardedFields" | "body" | "prompt">;

/** Fields that tell who the caller is. Its address does not: it may use many, and a proxy's stands for many callers. */
const credentialFields: ReadonlySet<string> = new Set(["authorization", "cookie"]);

/** Creates the guarded call of one attempt, which is identified by its caller, path and body. */
export function guardForwardedCall({ method, host, url, forwardedFields, body, prompt }: RepeatedFields): GuardedCall {
    return createGuardedCall(
        () => [method, host, url, readCredentials(forwardedFields)],
        body,
        () => listSharedParts(prompt?.parts ?? []),
    );
}

/** The last part belongs to the request or its session alone. */
function listSharedParts(parts: readonly PromptPart[]): readonly string[] {
    return parts.slice(0, -1).map(({ partId }) => partId);
}

/** Returns the values of the fields that tell who the caller is. */
export function readCredentials(forwardedFields: HeaderFields): readonly string[] {
    return forwardedFields.filter((value, index) =>
        index % 2 === 1 && credentialFields.has((forwardedFields[index - 1] ?? "").toLowerCase())
    );
}
