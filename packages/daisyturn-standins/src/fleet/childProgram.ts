import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

/** How long a program may take until it says that it listens. */
const startLimitMilliseconds = 30_000;
const stopLimitMilliseconds = 30_000;

/** A program of this repository running as a process of its own. */
export interface ChildProgram {
    readonly name: string;
    readonly processNumber: number;
    /** `key=value` words of the line on which the program said that it listens. */
    readonly words: ReadonlyMap<string, string>;
    hasExited(): boolean;
    /**
     * Asks the program to stop (SIGTERM), ends it by SIGKILL if it does not within half a minute, and resolves with its
     * exit code; undefined if a signal ended it.
     */
    stop(): Promise<number | undefined>;
    /** Ends it at once (SIGKILL). */
    kill(): Promise<void>;
    /** Stops its execution (SIGSTOP) until `resume`. */
    pause(): void;
    resume(): void;
}

/** Starts `node SCRIPT ARGUMENTS` and resolves once it has printed a line starting with `listening`. */
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
    // Not inherited: whoever waits for the end of this process's errors would wait for the program's end too.
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
