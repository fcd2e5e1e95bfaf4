import type { Failure, JsonObject } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { Argv } from "yargs";
import type { z } from "zod";
import { type ClientFlags, loadClientSettings } from "../client/clientSettings.js";
import { createOperatorClient, type OperatorClient } from "../client/createOperatorClient.js";
import { CommandError, createFailureError } from "../commandError.js";
import { ExitCode } from "../exitCode.js";
import type { Terminal } from "../terminal.js";

/** Flags of every command. */
export interface CommonFlags extends ClientFlags {
    readonly json: boolean;
}

/** Declares the flags of every command. */
export function addCommonFlags(parser: Argv): Argv<CommonFlags> {
    return parser
        .option("json", { type: "boolean", default: false, describe: "Print JSON" })
        .option("address", {
            type: "string",
            array: true,
            requiresArg: true,
            describe: "URL of a listener for operators; may be given several times",
        })
        .option("settings", { type: "string", requiresArg: true, describe: "Settings file of the client" });
}

/** Runs a command with a client, and closes the client afterwards. */
export async function withClient(
    terminal: Terminal,
    flags: CommonFlags,
    run: (client: OperatorClient) => Promise<void>,
): Promise<void> {
    const client = createOperatorClient(loadClientSettings(flags, terminal));
    try {
        await run(client);
    }
    finally {
        await client.close();
    }
}

/** Prints a value as JSON if `--json` is given, or else as formatted text. */
export function print(terminal: Terminal, flags: CommonFlags, value: object, formatText: () => string): void {
    terminal.write(flags.json ? `${JSON.stringify(value)}\n` : formatText());
}

/**
 * Returns the value of an answer.
 * @throws CommandError if the fleet refused or did not answer
 */
export function expectAnswer(answer: Result<JsonObject, Failure>): JsonObject {
    if (answer.isErr) {
        throw createFailureError(answer.error);
    }
    return answer.value;
}

/**
 * Parses an answer. An unexpected format can occur if the fleet runs another release than the command line.
 * @throws CommandError if the fleet refused or did not answer, or if the format is unexpected
 */
export function readAs<Schema extends z.ZodType>(
    schema: Schema,
    answer: Result<JsonObject, Failure>,
): z.output<Schema> {
    const parsed = schema.safeParse(expectAnswer(answer));
    if (!parsed.success) {
        const path = parsed.error.issues[0]?.path.join(".") ?? "";
        throw new CommandError(
            ExitCode.Internal,
            `unexpected format of the answer at ${path}: the fleet may run another release`,
        );
    }
    return parsed.data;
}
