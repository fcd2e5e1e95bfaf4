import { FailureReason, notRun, toJson } from "daisyturn-utils";
import Result from "true-myth/result";
import type { ProcessClaimManager } from "../../request/claims/createClaimManager.js";
import { OperatorMethod, type OperatorRequest, type OperatorRoutes } from "./operatorRoutes.js";

/** Creates the route that returns claims of the operator's own partner, without the answers. */
export function createClaimRoutes(claimManager: Pick<ProcessClaimManager, "inspect">): OperatorRoutes {
    return [{
        method: OperatorMethod.Get,
        path: "/v1/claims/:account/:service",
        handle: request => showClaim(claimManager, request),
    }];
}

async function showClaim(claimManager: Pick<ProcessClaimManager, "inspect">, request: OperatorRequest) {
    const idempotencyKey = request.query.get("key") ?? "";
    if (idempotencyKey === "") {
        return Result.err(notRun(FailureReason.BadRequest, "the query must name the idempotency key: ?key=KEY"));
    }
    const claim = await claimManager.inspect({
        partner: request.operator.partner,
        account: request.parameters["account"] ?? "",
        service: request.parameters["service"] ?? "",
        idempotencyKey,
    });
    return claim.andThen(found =>
        found ? Result.ok(toJson(found)) : Result.err(notRun(FailureReason.NotFound, "the key has no claim"))
    );
}
