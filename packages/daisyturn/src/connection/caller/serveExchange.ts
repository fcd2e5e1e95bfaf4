import { EventKind, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import { buildRefusal } from "../../request/answer/answer.js";
import type { CallerExchange } from "../../request/callerExchange.js";
import { claimPathPrefix, handleClaimLookup } from "../../request/claims/handleClaimLookup.js";
import { handleCompletion } from "../../request/completion/handleCompletion.js";
import { CompletionForm } from "../../request/completion/parseCompletion.js";
import { handlePlainCall } from "../../request/handlePlainCall.js";
import type { RequestParts } from "../../request/requestParts.js";
import { handleResume } from "../../request/resumption/handleResume.js";
import { servicePathPrefix } from "../../request/servicePath.js";

/** What the process says about itself. */
export interface ServingState {
    /** Whether the balancer may send requests here. */
    readonly isReady: boolean;
    /** Whether requests are refused because the process stops. */
    readonly isRefusing: boolean;
}

type Handler = (parts: RequestParts, exchange: CallerExchange) => Promise<Result<void, Failure>>;

/** What is served under a path, and with which method. */
interface Route {
    readonly method: string;
    readonly handle: Handler;
    readonly takesJson: boolean;
}

const livePath = "/healthz";
const readyPath = "/readyz";
const methodNotAllowed = 405;
const unsupportedMediaType = 415;
const jsonPattern = /^application\/json *(;|$)/i;

const routes: Readonly<Record<string, Route>> = {
    "/v1/chat/completions": {
        method: "POST",
        handle: (parts, exchange) => handleCompletion(parts, exchange, CompletionForm.Chat),
        takesJson: true,
    },
    "/v1/completions": {
        method: "POST",
        handle: (parts, exchange) => handleCompletion(parts, exchange, CompletionForm.Text),
        takesJson: true,
    },
    "/v1/resume": { method: "POST", handle: handleResume, takesJson: false },
};

const claimRoute: Route = { method: "GET", handle: handleClaimLookup, takesJson: false };

/** Serves one request by its path and refuses it where that fails. */
export async function serveExchange(
    parts: RequestParts,
    exchange: CallerExchange,
    state: ServingState,
): Promise<void> {
    const outcome = await serveByPath(parts, exchange, state);
    if (outcome.isErr) {
        refuseExchange(parts, exchange, outcome.error);
    }
}

/** Answers a request with its failure. */
export function refuseExchange(parts: RequestParts, exchange: CallerExchange, failure: Failure): void {
    const hasGone = failure.reason === FailureReason.Cancelled;
    parts.eventLog.record(hasGone ? EventKind.RequestCancelled : EventKind.RequestRefused, {
        request: exchange.requestId,
        reason: failure.reason,
        verdict: failure.verdict,
    });
    exchange.answer(buildRefusal(failure, parts.clock));
}

async function serveByPath(
    parts: RequestParts,
    exchange: CallerExchange,
    state: ServingState,
): Promise<Result<void, Failure>> {
    if (exchange.path === livePath) {
        return answerProbe(exchange, true);
    }
    if (exchange.path === readyPath) {
        return answerProbe(exchange, state.isReady);
    }
    if (state.isRefusing) {
        const retryAt = parts.clock.wallNow();
        return err(notRun(FailureReason.OutOfService, "This process is stopping; ask again elsewhere.", retryAt));
    }
    if (exchange.path.startsWith(servicePathPrefix)) {
        return handlePlainCall(parts, exchange);
    }
    const route = exchange.path.startsWith(claimPathPrefix) ? claimRoute : findRoute(exchange.path);
    if (!route) {
        return err(notRun(FailureReason.NotFound, "There is nothing under this path."));
    }
    return serveRoute(parts, exchange, route);
}

function findRoute(path: string): Route | undefined {
    return Object.hasOwn(routes, path) ? routes[path] : undefined;
}

async function serveRoute(
    parts: RequestParts,
    exchange: CallerExchange,
    route: Route,
): Promise<Result<void, Failure>> {
    if (exchange.method === "OPTIONS") {
        exchange.answer({ status: 204, contentType: "", body: "", headers: { Allow: route.method } });
        return ok(undefined);
    }
    if (exchange.method !== route.method) {
        const failure = notRun(FailureReason.BadRequest, `This path takes ${route.method} only.`);
        exchange.answer({
            ...buildRefusal(failure, parts.clock),
            status: methodNotAllowed,
            headers: { Allow: route.method },
        });
        return ok(undefined);
    }
    const encoding = exchange.header("content-encoding") ?? "identity";
    if (encoding !== "identity" || (route.takesJson && !jsonPattern.test(exchange.header("content-type") ?? ""))) {
        const failure = notRun(FailureReason.BadRequest, "The body must be application/json without an encoding.");
        exchange.answer({ ...buildRefusal(failure, parts.clock), status: unsupportedMediaType });
        return ok(undefined);
    }
    return route.handle(parts, exchange);
}

function answerProbe(exchange: CallerExchange, healthy: boolean): Result<void, Failure> {
    exchange.answer({
        status: healthy ? 200 : 503,
        contentType: "text/plain",
        body: healthy ? "ok\n" : "not ready\n",
    });
    return ok(undefined);
}
