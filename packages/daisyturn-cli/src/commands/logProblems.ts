import { CommandError } from "../commandError.js";
import { ExitCode } from "../exitCode.js";
import type { Terminal } from "../terminal.js";
import type { LineProblem } from "../timeLine/index.js";

const maxReportedProblems = 20;

/** Reports the first problems one by one and counts the others: in a log of another program, no line can be parsed. */
export function createProblemReporter(terminal: Terminal) {
    let count = 0;
    return {
        report: ({ source, line, problem }: LineProblem) => {
            count += 1;
            if (count <= maxReportedProblems) {
                terminal.writeError(`${source}:${line}: ${problem}\n`);
            }
        },
        reportOmitted: () => {
            if (count > maxReportedProblems) {
                terminal.writeError(`${count - maxReportedProblems} more lines with problems\n`);
            }
        },
    };
}

/** Converts the error of a log file that can't be opened to a CommandError; returns any other error unchanged. */
export function describeReadError(error: unknown): unknown {
    const { code, path } = error as { code?: string; path?: string; };
    return code === undefined || path === undefined
        ? error
        : new CommandError(ExitCode.Usage, `${path} can't be read: ${code}`);
}
