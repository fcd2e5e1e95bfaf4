import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { ServiceAnswer, ServiceCall } from "../ports/plainService.js";
import { createGuardedCall, type GuardedCall } from "../process/crashes/index.js";
import type { CallerAccount, Service } from "../version/configurationItems.js";
import type { CallerExchange } from "./callerExchange.js";
import { type SendPermit, unconditionalPermit } from "./claims/claimManager.js";
import { identifyPlainService } from "./identify.js";
import { createListedFailure } from "./listedFailure.js";
import { type RequestHead, serveWithPinnedVersion } from "./requestHead.js";
import { startRequestLifetime } from "./requestLifetime.js";
import type { RequestParts } from "./requestParts.js";
import { addRetryTime } from "./retryPolicy.js";
import { sendCall } from "./sendCall.js";
import { isIdempotentCall, type ServicePath, splitServicePath } from "./servicePath.js";

const defaultCallTimeoutMilliseconds = 10_000;
const idempotencyKeyPattern = /^[\x21-\x7e]{1,255}$/;
/** Replaces the caller's signal for a call that continues after the caller has disconnected. */
const neverAborted = new AbortController().signal;

/** A call that has been read and identified. */
interface PlainRequest {
    readonly account: CallerAccount;
    readonly service: Service;
    readonly call: ServiceCall;
    readonly guarded: GuardedCall;
    readonly idempotent: boolean;
    readonly idempotencyKey?: string;
}

/** Serves one call of a plain service. */
export function handlePlainCall(parts: RequestParts, exchange: CallerExchange): Promise<Result<void, Failure>> {
    return serveWithPinnedVersion(parts, exchange, head => servePlainCall(parts, exchange, head));
}

async function servePlainCall(
    parts: RequestParts,
    exchange: CallerExchange,
    head: RequestHead,
): Promise<Result<void, Failure>> {
    const request = await readPlainRequest(parts, exchange, head);
    if (request.isErr) {
        return err(request.error);
    }
    const listed = parts.crashGuard.findListed(request.value.guarded);
    if (listed) {
        return err(createListedFailure(listed));
    }
    const ticket = parts.admission.admitPlainCall(request.value.account);
    if (ticket.isErr) {
        return err(ticket.error);
    }
    parts.retryBudget.recordRequest();
    try {
        return await runPlainRequest(parts, exchange, request.value);
    }
    finally {
        ticket.value.release();
    }
}

/** Reads the `Idempotency-Key` header. */
export function readIdempotencyKey(exchange: CallerExchange): Result<string | undefined, Failure> {
    const key = exchange.header("idempotency-key");
    return key === undefined || idempotencyKeyPattern.test(key)
        ? ok(key)
        : err(notRun(FailureReason.BadRequest, "Idempotency-Key must be 1 to 255 visible ASCII characters."));
}

async function readPlainRequest(
    parts: RequestParts,
    exchange: CallerExchange,
    head: RequestHead,
): Promise<Result<PlainRequest, Failure>> {
    const path = splitServicePath(exchange.path);
    if (path.isErr) {
        return err(path.error);
    }
    const service = identifyPlainService(head.pin.version, head.account, path.value.serviceName);
    if (service.isErr) {
        return err(service.error);
    }
    [head.account, service.value].forEach(item => head.pin.use(item));
    const idempotencyKey = readIdempotencyKey(exchange);
    if (idempotencyKey.isErr) {
        return err(idempotencyKey.error);
    }
    const body = await exchange.readBody();
    if (body.isErr) {
        return err(body.error);
    }
    const call = buildCall(parts, exchange, head, service.value, path.value, body.value);
    return ok({
        account: head.account,
        service: service.value,
        call,
        guarded: guardPlainCall(head.account, service.value, call),
        idempotent: isIdempotentCall(service.value, exchange.method, path.value.path),
        idempotencyKey: idempotencyKey.value,
    });
}

/** A call is identified by its account, service, method, path and body. */
function guardPlainCall(account: CallerAccount, service: Service, { method, path, body }: ServiceCall): GuardedCall {
    return createGuardedCall(() => [account.partner, account.name, service.name, method, path], body);
}

function buildCall(
    parts: RequestParts,
    exchange: CallerExchange,
    head: RequestHead,
    service: Service,
    path: ServicePath,
    body: string,
): ServiceCall {
    const limit = head.arrivedAt + (service.callLimitMilliseconds ?? defaultCallTimeoutMilliseconds);
    return {
        callId: parts.ids.next("call"),
        method: exchange.method,
        path: `${path.path}${exchange.query}`,
        contentType: exchange.header("content-type"),
        body,
        deadline: Math.min(head.deadline ?? Infinity, limit),
    };
}

async function runPlainRequest(
    parts: RequestParts,
    exchange: CallerExchange,
    request: PlainRequest,
): Promise<Result<void, Failure>> {
    if (exchange.signal.aborted) {
        return err(notRun(FailureReason.Cancelled, "The caller has gone before the call was sent."));
    }
    // A non-idempotent call cannot be undone by a disconnect of the caller, and its answer must still be recorded.
    const callerSignal = request.idempotent ? exchange.signal : neverAborted;
    const lifetime = startRequestLifetime(parts.clock, callerSignal, request.call.deadline);
    try {
        const answer = await sendOrRunOnce(parts, exchange, request, lifetime.signal);
        const isRepeatable = request.idempotent || request.idempotencyKey !== undefined;
        return answer.isOk
            ? ok(exchange.answer(answer.value))
            : err(addRetryTime(answer.error, parts.clock, isRepeatable));
    }
    finally {
        lifetime.end();
    }
}

function sendOrRunOnce(
    parts: RequestParts,
    exchange: CallerExchange,
    request: PlainRequest,
    signal: AbortSignal,
): Promise<Result<ServiceAnswer, Failure>> {
    const { account, service, idempotent, idempotencyKey } = request;
    const { requestId } = exchange;
    const send = (call: ServiceCall, permit: SendPermit) =>
        sendCall(parts, { requestId, service, call, guarded: request.guarded, idempotent, permit, signal });
    if (idempotent || idempotencyKey === undefined) {
        return send(request.call, unconditionalPermit);
    }
    return parts.claims.runOnce({
        requestId,
        partner: account.partner,
        account: account.name,
        service: service.name,
        idempotencyKey,
        call: request.call,
        deadline: parts.clock.monotonicNow() + request.call.deadline - parts.clock.wallNow(),
    }, send);
}
