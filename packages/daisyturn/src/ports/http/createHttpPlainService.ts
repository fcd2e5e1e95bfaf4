import { type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import Result from "true-myth/result";
import { PlainService, type ServiceAnswer, type ServiceCall } from "../plainService.js";
import { createOperation } from "./operation.js";
import { parseErrorAnswer, parseRefusal } from "./refusal.js";
import {
    createTargetHttpClient,
    type TargetHttpOptions,
    type TargetRequest,
    type WholeAnswer,
} from "./targetHttpClient.js";

/** Header that carries the call's id. The service echoes it in its answer. */
export const callIdHeader = "x-call-id";
/** Header that carries the call's deadline as wall-clock time in milliseconds. */
export const deadlineHeader = "x-deadline";

const defaultMaxAnswerBytes = 8_388_608;
const refusedStatus = 503;

/** Options of the adapter to one plain service. */
export interface HttpPlainServiceOptions extends TargetHttpOptions {
    readonly targetId: string;
    readonly maxAnswerBytes?: number;
}

/** Creates the HTTP adapter to one plain service. */
export function createHttpPlainService(options: HttpPlainServiceOptions): PlainService {
    const { clock } = options;
    const client = createTargetHttpClient(options);
    const maxAnswerBytes = options.maxAnswerBytes ?? defaultMaxAnswerBytes;

    class HttpPlainService extends PlainService {
        override readonly targetId = options.targetId;

        override async invoke(call: ServiceCall, signal: AbortSignal): Promise<Result<ServiceAnswer, Failure>> {
            const deadline = clock.monotonicNow() + call.deadline - clock.wallNow();
            if (signal.aborted || deadline <= clock.monotonicNow()) {
                return Result.err(createUnsentFailure(signal));
            }
            const operation = createOperation({ clock, deadline, signal });
            const answer = await client.exchange(toRequest(call), operation, maxAnswerBytes);
            return answer.isErr ? Result.err(answer.error) : readAnswer(call, answer.value);
        }
    }
    return new HttpPlainService();
}

function toRequest(call: ServiceCall): TargetRequest {
    return {
        method: call.method,
        path: call.path,
        headers: {
            [callIdHeader]: call.callId,
            [deadlineHeader]: String(Math.round(call.deadline)),
            ...(call.contentType === undefined ? {} : { "content-type": call.contentType }),
        },
        body: call.body === "" ? undefined : call.body,
    };
}

/** Returns an answer of any status, unless it is a refusal, which states that the call did not run. */
function readAnswer(call: ServiceCall, answer: WholeAnswer): Result<ServiceAnswer, Failure> {
    if (answer.headers[callIdHeader] !== call.callId) {
        return Result.err(mayHaveRun(FailureReason.TargetFailed, "The answer belongs to another call."));
    }
    if (answer.status === refusedStatus && parseRefusal(answer.body)) {
        return Result.err(parseErrorAnswer(answer.status, answer.body));
    }
    return Result.ok({
        status: answer.status,
        contentType: String(answer.headers["content-type"] ?? ""),
        body: answer.body,
    });
}

function createUnsentFailure(signal: AbortSignal): Failure {
    return signal.aborted
        ? notRun(FailureReason.Cancelled, "Cancelled before the call was sent.")
        : notRun(FailureReason.DeadlinePassed, "The deadline passed before the call was sent.");
}
