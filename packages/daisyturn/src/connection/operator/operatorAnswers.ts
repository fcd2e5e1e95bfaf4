import { type Failure, FailureReason, type JsonObject, notRun, toJson } from "daisyturn-utils";
import { err, ok } from "true-myth/result";
import type { z } from "zod";
import { describeProblem } from "../../version/itemSchemas.js";
import type { OperatorAnswer } from "./operatorRoutes.js";

/** Builds a successful answer. */
export function buildAnswer(value: object): OperatorAnswer {
    return ok<JsonObject, Failure>(toJson(value));
}

/** Builds the answer to a malformed request. */
export function buildBadRequest(message: string): OperatorAnswer {
    return err(notRun(FailureReason.BadRequest, message));
}

/** Builds the answer to a request with an invalid body or query, with the first problem found. */
export function buildInvalidInput(error: z.ZodError): OperatorAnswer {
    return buildBadRequest(describeProblem(error));
}

/** Builds the answer to a request for something that does not exist or is not visible to this operator. */
export function buildNotFound(what: string): OperatorAnswer {
    return err(notRun(FailureReason.NotFound, `there is no such ${what}`));
}
