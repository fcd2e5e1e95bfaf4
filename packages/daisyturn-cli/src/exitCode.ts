/** Exit codes of the command line; scripts use them to determine the outcome of a command. */
export enum ExitCode {
    Success = 0,
    /** An internal error of the command line. */
    Internal = 1,
    /** Invalid arguments or client settings. */
    Usage = 2,
    /** Refused; nothing was changed. */
    Refused = 3,
    /** The outcome is unknown. Repeat the command with the write id or request id of the error message. */
    MayHaveRun = 4,
    /** No entry process could be reached; nothing was changed. */
    Unreachable = 5,
    /** Problems were found in a checked file. */
    ProblemsFound = 6,
    /** The operation was not finished within the waiting time; it continues without the command. */
    NotYet = 7,
}
