import type { Failure } from "daisyturn-utils";
import Result from "true-myth/result";
import { PlainService, type ServiceAnswer, type ServiceCall } from "../ports/plainService.js";
import { CallFaultKind, failureOf, untilAborted } from "./fakeEngine.js";

/** Settings of a fake plain service. */
export interface FakePlainServiceOptions {
    readonly targetId?: string;
    /** Absent: status 200 and a text that names the execution, so that two executions give different answers. */
    readonly answer?: (call: ServiceCall, execution: number) => ServiceAnswer;
    /** Awaited before each call runs, so that a test can hold calls up. */
    readonly beforeEach?: (call: ServiceCall) => Promise<void>;
}

/** A plain service in memory, which does what a test tells it. */
export interface FakePlainService extends PlainService {
    /** Calls that ran, in order; a call that ran twice is here twice. */
    readonly executed: ServiceCall[];
    /** Faults of the next calls, used up one by one; undefined lets one call pass. */
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
