import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { createHash } from "node:crypto";
import { err, ok, type Result } from "true-myth/result";
import type { CallDescription } from "../../ports/forwardedCall.js";
import type { RouteTable } from "../../version/forwarding/createRouteTable.js";
import type { ForwardAccount, ForwardRoute } from "../../version/forwarding/forwardingConfiguration.js";

const digestLength = 8;

/**
 * Finds the client account of a call. Succeeds without one if the configuration has no accounts or the route is public.
 */
export function identifyCaller(
    { accounts }: Pick<RouteTable, "accounts">,
    route: Pick<ForwardRoute, "isPublic">,
    { key }: Pick<CallDescription, "key">,
): Result<ForwardAccount | undefined, Failure> {
    const account = key === undefined ? undefined : accounts?.find(key);
    if (!accounts || account || route.isPublic) {
        return ok(account);
    }
    return err(notRun(
        FailureReason.Unauthenticated,
        key === undefined ? "The Authorization header must be: Bearer KEY." : "The key is not known.",
    ));
}

/** Returns a short digest by which operators find a key in logs that must not contain it. */
export function digestKey(key: string): string {
    return createHash("sha256").update(key).digest("hex").slice(0, digestLength);
}
