import { type Failure, FailureReason, notRun } from "daisyturn-utils";
import { err, ok, type Result } from "true-myth/result";

/** A deadline further in the past or future is treated as an error in the caller's clock or unit. */
export const maxDeadlineDistanceMilliseconds = 24 * 60 * 60 * 1000;

const millisecondsPattern = /^\d{1,16}$/;
const timestampPattern = /^\d{4}-\d\d-\d\d[Tt]\d\d:\d\d:\d\d(\.\d{1,9})?([Zz]|[+-]\d\d:\d\d)$/;

/**
 * Parses the `X-Deadline` header: milliseconds since the epoch or an RFC 3339 timestamp.
 * @param now wall-clock time in milliseconds
 * @returns wall-clock time in milliseconds; undefined if the header is absent
 */
export function parseDeadline(header: string | undefined, now: number): Result<number | undefined, Failure> {
    if (header === undefined) {
        return ok(undefined);
    }
    const deadline = readTime(header);
    if (deadline === undefined || !Number.isSafeInteger(deadline)) {
        return err(refuse("X-Deadline must be milliseconds since the epoch or an RFC 3339 timestamp."));
    }
    if (Math.abs(deadline - now) > maxDeadlineDistanceMilliseconds) {
        return err(refuse("X-Deadline is more than a day away; it counts milliseconds since the epoch."));
    }
    if (deadline <= now) {
        return err(notRun(FailureReason.DeadlinePassed, "X-Deadline has passed."));
    }
    return ok(deadline);
}

function readTime(header: string): number | undefined {
    if (millisecondsPattern.test(header)) {
        return Number(header);
    }
    if (!timestampPattern.test(header)) {
        return undefined;
    }
    const time = Date.parse(header);
    return Number.isNaN(time) ? undefined : time;
}

function refuse(message: string): Failure {
    return notRun(FailureReason.BadRequest, message);
}
