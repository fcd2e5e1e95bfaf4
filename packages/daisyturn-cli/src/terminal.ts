import { type Clock, SystemClock } from "daisyturn-utils";
import { createInterface } from "node:readline/promises";

/** Input and output of a command. Tests use their own implementation. */
export interface Terminal {
    write(text: string): void;
    writeError(text: string): void;
    /** Asks a yes-or-no question; undefined if the terminal is not interactive. */
    confirm(question: string): Promise<boolean | undefined>;
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly clock: Clock;
}

/** Creates the terminal of this process. */
export function createProcessTerminal(): Terminal {
    const confirm = async (question: string) => {
        if (!process.stdin.isTTY) {
            return undefined;
        }
        const lines = createInterface({ input: process.stdin, output: process.stderr });
        const answer = await lines.question(`${question} [y/N] `);
        lines.close();
        return /^y(es)?$/i.test(answer.trim());
    };

    return {
        write: text => void process.stdout.write(text),
        writeError: text => void process.stderr.write(text),
        confirm,
        environment: process.env,
        clock: new SystemClock(),
    };
}
