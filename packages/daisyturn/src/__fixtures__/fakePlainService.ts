import type { Failure } from "daisyturn-utils";
import Result from "true-myth/result";
import { PlainService, type ServiceAnswer, type ServiceCall } from "../ports/plainService.js";
import { CallFaultKind, failureOf, untilAborted } from "./fakeEngine.js";

export interface FakePlainServiceOptions {
    readonly targetId?: string;
    /** Default: status 200 and a text with the execution's number, so that two executions return different answers. */
    readonly answer?: (call: ServiceCall, execution: number) => ServiceAnswer;
    /** Awaited before each call runs, so that a test can delay calls. */
    readonly beforeEach?: (call: ServiceCall) => Promise<void>;
}

/** A plain service in memory that a test controls. */
export interface FakePlainService extends PlainService {
    /** Calls that ran, in order. A call that ran twice is listed twice. */
    readonly executed: ServiceCall[];
    /** Faults of the next calls, one each, in order; undefined for a call without a fault. */
    readonly faults: (CallFaultKind | undefined)[];
}

/** Creates a plain service in memory. */
export function createFakePlainService(options: FakePlainServiceOptions = {}): FakePlainService {
    const answer = options.answer ?? answerWithExecution;

    class MemoryPlainService extends PlainService implements FakePlainService {
        override readonly targetId = options.targetId ?? "desk-1";
        readonly executed: ServiceCall[] = [];
        readonly faults: (CallFaultKind | undefined)[] = [];

        override async invoke(call: ServiceCall, signal: AbortSignal): Promise<Result<ServiceAnswer, Failure>> {
            await options.beforeEach?.(call);
            const fault = this.faults.shift();
            if (fault === CallFaultKind.Hang) {
                await untilAborted(signal);
            }
            if (fault !== undefined && fault !== CallFaultKind.LoseAnswer) {
                return Result.err(failureOf(fault));
            }
            this.executed.push(call);
            const given = answer(call, this.executed.length);
            return fault === undefined ? Result.ok(given) : Result.err(failureOf(fault));
        }
    }
    return new MemoryPlainService();
}

function answerWithExecution(call: ServiceCall, execution: number): ServiceAnswer {
    return { status: 200, contentType: "text/plain", body: `execution ${execution} of ${call.path} ${call.body}` };
}
