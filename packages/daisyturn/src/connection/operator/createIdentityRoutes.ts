import { buildAnswer } from "./operatorAnswers.js";
import { OperatorMethod, type OperatorRoutes } from "./operatorRoutes.js";

/** Route that returns the operator of the client's key. Changes name the partner, which only the server can verify. */
export function createIdentityRoutes(): OperatorRoutes {
    return [{
        method: OperatorMethod.Get,
        path: "/v1/operator",
        handle: ({ operator }) => buildAnswer({ partner: operator.partner, name: operator.name }),
    }];
}
