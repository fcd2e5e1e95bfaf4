/** Describes an invalid input to the user. */
export interface UserErrorDetails {
    /** The option's path, such as `listeners.callers.port`. */
    readonly option: string;
    /** The given value, already shortened and without secrets. */
    readonly value: string;
    /** Why the value is invalid. */
    readonly problem: string;
    /** How to correct the value. */
    readonly remedy: string;
    readonly file?: string;
    /** Line number, counted from 1. */
    readonly line?: number;
}

/** An error caused by the user's input. It is shown without a stack trace. */
export class UserError extends Error {
    readonly details: UserErrorDetails;

    constructor(details: UserErrorDetails) {
        super(formatUserError(details));
        this.name = "UserError";
        this.details = details;
    }
}

/** Formats the error as one line with the location, the option, the problem, the value and the remedy. */
export function formatUserError(details: UserErrorDetails): string {
    const place = details.file === undefined ? "" : `${details.file}:${details.line ?? 1}: `;
    return `${place}${details.option}: ${details.problem} (given: ${details.value}). ${details.remedy}`;
}
