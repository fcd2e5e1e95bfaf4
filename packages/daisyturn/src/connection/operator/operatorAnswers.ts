import { type Failure, FailureReason, type JsonObject, notRun, toJson } from "daisyturn-utils";
import { err, ok } from "true-myth/result";
import type { z } from "zod";
import { describeProblem } from "../../version/itemSchemas.js";
import type { OperatorAnswer } from "./operatorRoutes.js";

/** A successful answer. */
export function buildAnswer(value: object): OperatorAnswer {
    return ok<JsonObject, Failure>(toJson(value));
}

/** Refuses a call for its form. */
export function buildBadRequest(message: string): OperatorAnswer {
    return err(notRun(FailureReason.BadRequest, message));
}

/** Refuses a call for the first problem of its body or query. */
export function buildInvalidInput(error: z.ZodError): OperatorAnswer {
    return buildBadRequest(describeProblem(error));
}

/** Refuses a call for something that is not there, or not to be seen by this operator. */
export function buildNotFound(what: string): OperatorAnswer {
    return err(notRun(FailureReason.NotFound, `there is no such ${what}`));
}
