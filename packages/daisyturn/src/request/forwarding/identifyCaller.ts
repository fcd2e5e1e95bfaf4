import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { createHash } from "node:crypto";
import { err, ok, type Result } from "true-myth/result";
import type { CallDescription } from "../../ports/forwardedCall.js";
import type { RouteTable } from "../../version/forwarding/createRouteTable.js";
import type { ForwardAccount, ForwardRoute } from "../../version/forwarding/forwardingConfiguration.js";
import type { ForwardingParts } from "./forwardingParts.js";

const digestLength = 8;

/** By then, the store or a coordinator may have answered. */
const unconfirmedRetryDelayMilliseconds = 300;

/**
 * Finds the client account of a call. Succeeds without one if the configuration has no accounts or the route is public.
 * Fails while this process can't know whether the key was revoked, if the deployment's settings say so.
 */
export function identifyCaller(
    { areKeysCurrent, clock }: Pick<ForwardingParts, "areKeysCurrent" | "clock">,
    { accounts }: Pick<RouteTable, "accounts">,
    route: Pick<ForwardRoute, "isPublic">,
    { key }: Pick<CallDescription, "key">,
): Result<ForwardAccount | undefined, Failure> {
    const account = key === undefined ? undefined : accounts?.find(key);
    if (!accounts || route.isPublic) {
        return ok(account);
    }
    if (account) {
        const retryAt = clock.wallNow() + unconfirmedRetryDelayMilliseconds;
        const message = "This process can't check whether the key is still valid.";
        return areKeysCurrent() ? ok(account) : err(notRun(FailureReason.OutOfService, message, retryAt));
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
