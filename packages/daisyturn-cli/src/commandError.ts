import { ExecutionVerdict, type Failure, FailureReason, type UserErrorDetails } from "daisyturn-utils";
import { ExitCode } from "./exitCode.js";

/** Ends a command with an exit code and a message. */
export class CommandError extends Error {
    readonly exitCode: ExitCode;
    /** Failure that the fleet returned or that occurred in the call to it; absent if there was no call. */
    readonly failure?: Failure;
    /** All problems found in a checked file. */
    readonly problems?: readonly UserErrorDetails[];

    constructor(
        exitCode: ExitCode,
        message: string,
        details: { readonly failure?: Failure; readonly problems?: readonly UserErrorDetails[]; } = {},
    ) {
        super(message);
        this.name = "CommandError";
        this.exitCode = exitCode;
        this.failure = details.failure;
        this.problems = details.problems;
    }
}

/** Creates the error of a command that the fleet refused or did not answer. */
export function createFailureError(failure: Failure): CommandError {
    return new CommandError(chooseExitCode(failure), `${failure.message} (${failure.reason})`, { failure });
}

function chooseExitCode(failure: Failure): ExitCode {
    if (failure.verdict === ExecutionVerdict.MayHaveRun) {
        return ExitCode.MayHaveRun;
    }
    return failure.reason === FailureReason.PeerUnavailable ? ExitCode.Unreachable : ExitCode.Refused;
}
