import { ExecutionVerdict, type Failure, FailureReason, mayHaveRun, notRun } from "daisyturn-utils";
import { z } from "zod";

/** Body of an answer by which a target refuses a request. Without it, an error status proves nothing. */
export const refusalSchema = z.object({
    verdict: z.enum(ExecutionVerdict),
    reason: z.enum(FailureReason),
    message: z.string(),
    /** Wall-clock time in milliseconds. */
    retryAt: z.number().optional(),
});

/** A target's statement that it did not do what it was asked. */
export type Refusal = z.infer<typeof refusalSchema>;

/** Status with which a target says that a request did not run. */
const notRunStatus = 503;

/** Reads an error answer. Only status 503 with a body that says so proves that the request did not run. */
export function parseErrorAnswer(status: number, body: string): Failure {
    const refusal = parseRefusal(body);
    if (!refusal) {
        return mayHaveRun(FailureReason.TargetFailed, `The target answered with status ${status} and no refusal.`);
    }
    const build = status === notRunStatus && refusal.verdict === ExecutionVerdict.NotRun ? notRun : mayHaveRun;
    return build(refusal.reason, refusal.message, refusal.retryAt);
}

/** The refusal in a body, or undefined if it holds none. */
export function parseRefusal(body: string): Refusal | undefined {
    const parsed = refusalSchema.safeParse(parseJson(body));
    return parsed.success ? parsed.data : undefined;
}

/** Parses JSON; undefined if the text is none. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
