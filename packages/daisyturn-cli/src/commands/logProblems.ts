import { CommandError } from "../commandError.js";
import { ExitCode } from "../exitCode.js";
import type { Terminal } from "../terminal.js";
import type { LineProblem } from "../timeLine/index.js";

const toldProblems = 20;

/** Tells the first problems one by one and counts the others: a log of another program has nothing else. */
export function createProblemTeller(terminal: Terminal) {
    let count = 0;
    return {
        tell: ({ source, line, problem }: LineProblem) => {
            count += 1;
            if (count <= toldProblems) {
                terminal.writeError(`${source}:${line}: ${problem}\n`);
            }
        },
        sum: () => {
            if (count > toldProblems) {
                terminal.writeError(`${count - toldProblems} more lines with problems\n`);
            }
        },
    };
}

/** What is told of a log file that can't be opened; any other error is given back as it is. */
export function describeUnreadable(error: unknown): unknown {
    const { code, path } = error as { code?: string; path?: string; };
    return code === undefined || path === undefined
        ? error
        : new CommandError(ExitCode.Usage, `${path} can't be read: ${code}`);
}
