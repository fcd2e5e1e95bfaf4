import { ExecutionVerdict, type Failure } from "daisyturn-utils";
import Result from "true-myth/result";
import type { ServiceAnswer } from "../../ports/plainService.js";
import type { ClaimRequest, SendCall } from "../claims/claimManager.js";
import { failWithKeyReused, failWithOutcomeUnknown } from "../claims/claimVerdicts.js";

interface NaiveClaim {
    readonly body: string;
    /** Undefined if the call may have run. */
    readonly answer?: ServiceAnswer;
}

/** Reference for the claim manager: runs calls at most once in a single process that never fails, without a store. */
export function createNaiveClaimManager() {
    const claims = new Map<string, NaiveClaim>();

    const runOnce = async (request: ClaimRequest, send: SendCall): Promise<Result<ServiceAnswer, Failure>> => {
        const { body } = request.call;
        const claim = claims.get(request.idempotencyKey);
        if (claim && claim.body !== body) {
            return Result.err(failWithKeyReused());
        }
        if (claim) {
            return claim.answer ? Result.ok(claim.answer) : Result.err(failWithOutcomeUnknown());
        }
        const result = await send(request.call, { isValid: () => true });
        if (result.isOk) {
            claims.set(request.idempotencyKey, { body, answer: result.value });
        }
        else if (result.error.verdict === ExecutionVerdict.MayHaveRun) {
            claims.set(request.idempotencyKey, { body });
        }
        return result;
    };

    return { runOnce };
}
