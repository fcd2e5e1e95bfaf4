import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { CallerExchange } from "../callerExchange.js";
import { readIdempotencyKey } from "../handlePlainCall.js";
import { identifyPlainService } from "../identify.js";
import { type RequestHead, serveWithPinnedVersion } from "../requestHead.js";
import type { RequestParts } from "../requestParts.js";

/** Path under which callers look up the state of a key; the name of the service follows. */
export const claimPathPrefix = "/v1/claims/";

/** Serves `GET /v1/claims/NAME`: reports the state of the caller's `Idempotency-Key`, without sending the call. */
export function handleClaimLookup(
    parts: RequestParts,
    exchange: CallerExchange,
): Promise<Result<void, Failure>> {
    return serveWithPinnedVersion(parts, exchange, head => answerClaimLookup(parts, exchange, head));
}

async function answerClaimLookup(
    parts: RequestParts,
    exchange: CallerExchange,
    { account, pin }: RequestHead,
): Promise<Result<void, Failure>> {
    const service = identifyPlainService(pin.version, account, exchange.path.slice(claimPathPrefix.length));
    if (service.isErr) {
        return err(service.error);
    }
    const key = readIdempotencyKey(exchange);
    if (key.isErr) {
        return err(key.error);
    }
    if (key.value === undefined) {
        return err(notRun(FailureReason.BadRequest, "The Idempotency-Key header is missing."));
    }
    const ticket = parts.admission.admitPlainCall(account);
    if (ticket.isErr) {
        return err(ticket.error);
    }
    const view = await parts.claims.lookUp(account.partner, account.name, service.value.name, key.value);
    ticket.value.release();
    return view.isOk
        ? ok(exchange.answer({ status: 200, contentType: "application/json", body: JSON.stringify(view.value) }))
        : err(view.error);
}
