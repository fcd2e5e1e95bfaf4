import { buildAnswer } from "./operatorAnswers.js";
import { OperatorMethod, type OperatorRoutes } from "./operatorRoutes.js";

/** Tells whose key a client uses: changes name the partner, and only the server knows it for sure. */
export function createIdentityRoutes(): OperatorRoutes {
    return [{
        method: OperatorMethod.Get,
        path: "/v1/operator",
        handle: ({ operator }) => buildAnswer({ partner: operator.partner, name: operator.name }),
    }];
}
