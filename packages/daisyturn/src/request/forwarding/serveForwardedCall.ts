import { EventKind, ExecutionVerdict, type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";
import type { ForwardExchange } from "../../connection/forwarding/forwardExchange.js";
import type { ForwardedCall } from "../../ports/forwardedCall.js";
import { CallOutcome, measureSize } from "../../process/forwarding/index.js";
import { chooseService } from "../../version/forwarding/createRouteTable.js";
import { startRequestLife } from "../requestLife.js";
import { type CallRun, createCallRun } from "./callRun.js";
import type { ForwardingParts } from "./forwardingParts.js";
import { refuseCall } from "./refuseCall.js";
import { createRequestTrace, type RequestTrace } from "./requestTrace.js";
import { runPlainCall } from "./runPlainCall.js";
import { runPromptCall } from "./runPromptCall.js";
import type { TargetReply } from "./sendToTarget.js";

/** What a call was answered with; undefined where the answer was passed on as it came. */
type Answer = TargetReply | undefined;

const noConfigurationRetryMilliseconds = 300;
const overloadRetryMilliseconds = 250;
const firstErrorStatus = 500;

/** Serves one forwarded call: finds its route, has targets run it, and answers or refuses it. */
export async function serveForwardedCall(
    parts: ForwardingParts,
    call: ForwardedCall,
    exchange: ForwardExchange,
): Promise<void> {
    const { eventLog, sampledCalls, clock } = parts;
    const { callId, arrivedAt } = call;
    const now = () => clock.monotonicNow();
    const trace = createRequestTrace({ eventLog, sampledCalls, callId, arrivedAt, now });
    const started = startRun(parts, call, exchange, trace);
    if (started.isErr) {
        recordEnd(parts, trace, undefined, "unrouted", started.error);
        refuseCall(exchange, started.error, parts.clock);
        return;
    }
    const { run, end } = started.value;
    parts.budget.recordRequest(run.service.name);
    const answer = await runCall(parts, run);
    end();
    const failure = answer.isErr ? adviseReturn(parts, answer.error) : undefined;
    recordEnd(parts, trace, run, run.route.kind, failure, answer.unwrapOr(undefined));
    if (failure) {
        refuseCall(exchange, failure, parts.clock);
    }
    else if (answer.isOk && answer.value) {
        const { head, body } = answer.value;
        exchange.answer(head.status, head.forwardedFields, body);
    }
}

/** The version in force at the call's arrival counts for it to its end. */
function startRun(
    parts: ForwardingParts,
    call: ForwardedCall,
    exchange: ForwardExchange,
    trace: RequestTrace,
): Result<{ run: CallRun; end: () => void; }, Failure> {
    const table = parts.configurationManager.current();
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
    const service = table.configuration.services.get(serviceName) ?? { name: serviceName };
    const pauseAim = table.shortestPauseAim(serviceName);
    const deadline = Math.min(call.deadline, call.arrivedAt + route.timeoutMilliseconds);
    const wallDeadline = parts.clock.wallNow() + deadline - parts.clock.monotonicNow();
    const life = startRequestLife(parts.clock, exchange.signal, wallDeadline);
    trace.record(EventKind.RequestAccepted, {
        route: route.name,
        service: serviceName,
        generation: table.configuration.version,
        remaining: Math.round(deadline - parts.clock.monotonicNow()),
        tokens: call.prompt?.promptTokens,
    });
    trace.repeatAtEnd({
        route: route.name,
        tokens: call.prompt?.promptTokens,
        size: call.prompt && measureSize(call.prompt),
    });
    return ok({
        run: createCallRun({ call, route, service, pauseAim, exchange, signal: life.signal, deadline, trace }),
        end: life.end,
    });
}

async function runCall(parts: ForwardingParts, run: CallRun): Promise<Result<Answer, Failure>> {
    const { prompt } = run.call;
    const answer = prompt && run.service.engine
        ? await runPromptCall(parts, run, prompt)
        : await runPlainCall(parts, run);
    return answer.map(({ isPassedOn, reply }) => isPassedOn ? undefined : reply);
}

/** Where the request has not run and nothing better is known, the caller may come back soon. */
function adviseReturn(parts: ForwardingParts, failure: Failure): Failure {
    const isAdvised = failure.retryAt !== undefined || failure.verdict !== ExecutionVerdict.NotRun;
    return isAdvised ? failure : { ...failure, retryAt: parts.clock.wallNow() + overloadRetryMilliseconds };
}

/** Counts the call, and logs it whole unless it was answered on time. */
function recordEnd(
    parts: ForwardingParts,
    trace: RequestTrace,
    run: CallRun | undefined,
    kind: string,
    failure: Failure | undefined,
    reply?: Answer,
): void {
    const arrivedAt = run?.call.arrivedAt ?? parts.clock.monotonicNow();
    const milliseconds = (run?.exchange.firstByteAt() ?? parts.clock.monotonicNow()) - arrivedAt;
    const longestPause = run?.exchange.longestPause() ?? 0;
    const outcome = determineOutcome(run, milliseconds, failure, reply);
    parts.metrics.recordCall(kind, outcome, milliseconds, longestPause);
    if (run?.call.prompt) {
        parts.sizeCounts.record(run.route.name, measureSize(run.call.prompt), isServed(outcome));
    }
    trace.recordEnd(failure ? kindOfFailure(failure) : EventKind.RequestAnswered, {
        outcome,
        firstByte: Math.round(milliseconds),
        aim: run?.route.latencyAimMilliseconds,
        longestPause: Math.round(longestPause),
        pauseAim: run?.route.pauseAimMilliseconds,
        status: reply?.head.status,
        reason: failure?.reason,
        verdict: failure?.verdict,
        cause: failure?.message,
    });
    trace.end(outcome === CallOutcome.OnTime);
}

function isServed(outcome: CallOutcome): boolean {
    return outcome === CallOutcome.OnTime || outcome === CallOutcome.Late || outcome === CallOutcome.Paused;
}

function kindOfFailure(failure: Failure): EventKind {
    return failure.reason === FailureReason.Cancelled ? EventKind.RequestCancelled : EventKind.RequestRefused;
}

function determineOutcome(
    run: CallRun | undefined,
    milliseconds: number,
    failure: Failure | undefined,
    reply: Answer,
): CallOutcome {
    if (failure) {
        if (failure.reason === FailureReason.Cancelled) {
            return CallOutcome.Cancelled;
        }
        if (run?.exchange.isHeadSent()) {
            return CallOutcome.BrokenOff;
        }
        return failure.verdict === ExecutionVerdict.NotRun ? CallOutcome.Refused : CallOutcome.Failed;
    }
    if (reply && reply.head.status >= firstErrorStatus) {
        return CallOutcome.TargetError;
    }
    if (milliseconds > (run?.route.latencyAimMilliseconds ?? Infinity)) {
        return CallOutcome.Late;
    }
    const isPaused = (run?.exchange.longestPause() ?? 0) > (run?.route.pauseAimMilliseconds ?? Infinity);
    return isPaused ? CallOutcome.Paused : CallOutcome.OnTime;
}
