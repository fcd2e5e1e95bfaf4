import { ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { z } from "zod";

/** Body of a target's refusal. An error status without it does not prove that the request did not run. */
export const refusalSchema = z.object({
    verdict: z.enum(ExecutionVerdict),
    reason: z.enum(FailureReason),
    message: z.string(),
    /** Wall-clock time in milliseconds. */
    retryAt: z.number().optional(),
});

/** A target's statement that it did not carry out a request. */
export type Refusal = z.infer<typeof refusalSchema>;

/** Status of a refusal by a target that did not run the request. */
export const notRunStatus = 503;

/** Converts an error answer to a failure. Only status 503 with a NotRun refusal proves that the request did not run. */
export function parseErrorAnswer(status: number, body: string): Failure {
    const refusal = parseRefusal(body);
    if (!refusal) {
        return mayHaveRun(FailureReason.TargetFailed, `The target answered with status ${status} and no refusal.`);
    }
    const build = status === notRunStatus && refusal.verdict === ExecutionVerdict.NotRun ? notRun : mayHaveRun;
    return build(refusal.reason, refusal.message, refusal.retryAt);
}

/** Parses a refusal; returns undefined if the body is not one. */
export function parseRefusal(body: string): Refusal | undefined {
    const parsed = refusalSchema.safeParse(parseJson(body));
    return parsed.success ? parsed.data : undefined;
}

/** Parses JSON; returns undefined if the text is not valid. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
