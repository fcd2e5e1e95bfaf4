import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

/** Time from the start of a program until it must have printed its `listening` line; then it is killed. */
const startLimitMilliseconds = 30_000;
const stopLimitMilliseconds = 30_000;

/** A program of this repository that runs in a separate process. */
export interface ChildProgram {
    readonly name: string;
    readonly processNumber: number;
    /** The `key=value` words of the program's `listening` line. */
    readonly words: ReadonlyMap<string, string>;
    hasExited(): boolean;
    /**
     * Sends SIGTERM, and SIGKILL if the program has not exited after 30 s. Resolves with the exit code, or with
     * undefined if a signal ended the program.
     */
    stop(): Promise<number | undefined>;
    /** Ends the program at once (SIGKILL). */
    kill(): Promise<void>;
    /** Suspends the program (SIGSTOP) until `resume` is called. */
    pause(): void;
    resume(): void;
}

/**
 * Starts `node SCRIPT ARGUMENTS` and resolves once it has printed a line that starts with `listening`. Rejects if the
 * program exits before that.
 */
export async function startChildProgram(
    name: string,
    script: string,
    argumentList: readonly string[],
    environment: Readonly<Record<string, string>> = {},
): Promise<ChildProgram> {
    const child = spawn(process.execPath, [script, ...argumentList], {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, ...environment },
    });
    // Standard error is piped, not inherited: with an inherited descriptor, a reader of this process's standard error
    // would see its end only after the program has exited too.
    child.stderr?.pipe(process.stderr, { end: false });
    const exit = once(child, "exit").then(() => child.exitCode ?? undefined);
    const words = await readListeningLine(name, child, exit);
    return createHandle(name, child, exit, words);
}

function createHandle(
    name: string,
    child: ChildProcess,
    exit: Promise<number | undefined>,
    words: ReadonlyMap<string, string>,
): ChildProgram {
    const hasExited = () => child.exitCode !== null || child.signalCode !== null; // eslint-disable-line no-restricted-syntax
    return {
        name,
        processNumber: child.pid ?? 0,
        words,
        hasExited,
        stop: async () => {
            child.kill("SIGTERM");
            child.kill("SIGCONT");
            const timer = setTimeout(() => child.kill("SIGKILL"), stopLimitMilliseconds);
            const exitCode = await exit;
            clearTimeout(timer);
            return exitCode;
        },
        kill: async () => {
            child.kill("SIGKILL");
            await exit;
        },
        pause: () => {
            child.kill("SIGSTOP");
        },
        resume: () => {
            child.kill("SIGCONT");
        },
    };
}

async function readListeningLine(
    name: string,
    child: ChildProcess,
    exit: Promise<number | undefined>,
): Promise<ReadonlyMap<string, string>> {
    if (!child.stdout) {
        throw new Error(`${name} has no standard output`);
    }
    const lines = createInterface({ input: child.stdout });
    const timer = setTimeout(() => child.kill("SIGKILL"), startLimitMilliseconds);
    const listening = new Promise<string>(resolve => {
        lines.on("line", line => {
            if (line.startsWith("listening")) {
                resolve(line);
            }
        });
    });
    const line = await Promise.race([listening, exit.then(() => undefined)]);
    clearTimeout(timer);
    if (line === undefined) {
        throw new Error(`${name} ended before it listened`);
    }
    return new Map(line.split(" ").slice(1).map(splitWord));
}

function splitWord(word: string): [string, string] {
    const at = word.indexOf("=");
    return [word.slice(0, at), word.slice(at + 1)];
}
