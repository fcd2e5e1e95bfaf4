import { EventKind, ExecutionVerdict, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { ForwardExchange } from "../../connection/forwarding/forwardExchange.js";
import type { ForwardedCall } from "../../ports/forwardedCall.js";
import { chooseService } from "../../version/forwarding/createRouteTable.js";
import { startRequestLife } from "../requestLife.js";
import { type CallRun, createCallRun } from "./callRun.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { refuseCall } from "./refuseCall.js";
import { runPlainCall } from "./runPlainCall.js";
import { runPromptCall } from "./runPromptCall.js";
import type { TargetReply } from "./sendToTarget.js";

/** What a call was answered with; undefined where the answer was passed on as it came. */
type Answer = TargetReply | undefined;

const noConfigurationRetryMilliseconds = 300;
const overloadRetryMilliseconds = 250;

/** Serves one forwarded call: finds its route, has targets run it, and answers or refuses it. */
export async function serveForwardedCall(
    parts: ForwardingParts,
    call: ForwardedCall,
    exchange: ForwardExchange,
): Promise<void> {
    const started = startRun(parts, call, exchange);
    if (started.isErr) {
        recordRefusal(parts, call, started.error);
        refuseCall(exchange, started.error, parts.clock);
        return;
    }
    const { run, end } = started.value;
    parts.budget.noteRequest(run.service.name);
    const answer = await runCall(parts, run);
    end();
    if (answer.isErr) {
        const failure = adviseReturn(parts, answer.error);
        recordRefusal(parts, call, failure, run);
        refuseCall(exchange, failure, parts.clock);
        return;
    }
    if (answer.value) {
        const { head, body } = answer.value;
        exchange.answer(head.status, head.forwardedFields, body);
    }
}

/** The version in force at the call's arrival counts for it to its end. */
function startRun(
    parts: ForwardingParts,
    call: ForwardedCall,
    exchange: ForwardExchange,
): Result<{ run: CallRun; end: () => void; }, Failure> {
    const table = parts.keeper.current();
    if (!table) {
        const retryAt = parts.clock.wallNow() + noConfigurationRetryMilliseconds;
        return err(notRun(FailureReason.OutOfService, "This process knows no configuration yet.", retryAt));
    }
    const path = call.url.split("?", 1)[0] ?? call.url;
    const route = table.find(call.host, path);
    const serviceName = route && chooseService(route, call.callId);
    if (!route || serviceName === undefined) {
        return err(notRun(FailureReason.NotFound, "No route takes this host and path."));
    }
    const service = table.configuration.services.get(serviceName) ?? { name: serviceName, maxConnections: 1 };
    const deadline = Math.min(call.deadline, call.arrivedAt + route.timeoutMilliseconds);
    const wallDeadline = parts.clock.wallNow() + deadline - parts.clock.monotonicNow();
    const life = startRequestLife(parts.clock, exchange.signal, wallDeadline);
    return ok({ run: createCallRun(call, route, service, exchange, life.signal, deadline), end: life.end });
}

async function runCall(parts: ForwardingParts, run: CallRun): Promise<Result<Answer, Failure>> {
    const { prompt } = run.call;
    if (!prompt || !run.service.engine) {
        return runPlainCall(parts, run);
    }
    const outcome = await runPromptCall(parts, run, prompt);
    return outcome.map(({ isPassedOn, reply }) => isPassedOn ? undefined : reply);
}

/** Where the request has not run and nothing better is known, the caller may come back soon. */
function adviseReturn(parts: ForwardingParts, failure: Failure): Failure {
    const isAdvised = failure.retryAt !== undefined || failure.verdict !== ExecutionVerdict.NotRun;
    return isAdvised ? failure : { ...failure, retryAt: parts.clock.wallNow() + overloadRetryMilliseconds };
}

function recordRefusal(parts: ForwardingParts, call: ForwardedCall, failure: Failure, run?: CallRun): void {
    const kind = failure.reason === FailureReason.Cancelled ? EventKind.RequestCancelled : EventKind.RequestRefused;
    parts.eventLog.record(kind, {
        request: call.callId,
        route: run?.route.name,
        reason: failure.reason,
        verdict: failure.verdict,
        afterMilliseconds: Math.round(parts.clock.monotonicNow() - call.arrivedAt),
        targets: run && [...run.avoid].join(","),
        cause: failure.message,
    });
}
