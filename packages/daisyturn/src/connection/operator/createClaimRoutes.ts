import { FailureReason, notRun, toJson } from "daisyturn-utils";
import Result from "true-myth/result";
import type { ProcessClaimKeeper } from "../../request/claims/createClaimKeeper.js";
import { OperatorMethod, type OperatorRequest, type OperatorRoutes } from "./operatorRoutes.js";

/** Shows operators the claims of their own partner's callers, without the answers. */
export function createClaimRoutes(keeper: Pick<ProcessClaimKeeper, "inspect">): OperatorRoutes {
    return [{
        method: OperatorMethod.Get,
        path: "/v1/claims/:account/:service",
        handle: request => showClaim(keeper, request),
    }];
}

async function showClaim(keeper: Pick<ProcessClaimKeeper, "inspect">, request: OperatorRequest) {
    const idempotencyKey = request.query.get("key") ?? "";
    if (idempotencyKey === "") {
        return Result.err(notRun(FailureReason.BadRequest, "the query must name the idempotency key: ?key=KEY"));
    }
    const claim = await keeper.inspect({
        partner: request.operator.partner,
        account: request.parameters["account"] ?? "",
        service: request.parameters["service"] ?? "",
        idempotencyKey,
    });
    return claim.andThen(found =>
        found ? Result.ok(toJson(found)) : Result.err(notRun(FailureReason.NotFound, "the key has no claim"))
    );
}
