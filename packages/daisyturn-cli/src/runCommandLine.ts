import { UserError } from "daisyturn-utils";
import { createRequire } from "node:module";
import yargs, { type Argv } from "yargs";
import { CommandError } from "./commandError.js";
import { addCommonFlags, type CommonFlags } from "./commands/commandContext.js";
import { addEngineCommands } from "./commands/engineCommands.js";
import { addFleetCommands } from "./commands/fleetCommands.js";
import { addLedgerCommand } from "./commands/ledgerCommand.js";
import { addProfileCommands } from "./commands/profileCommands.js";
import { addSettingsCommands } from "./commands/settingsCommands.js";
import { addTimeLineCommand } from "./commands/timeLineCommand.js";
import { ExitCode } from "./exitCode.js";
import type { Terminal } from "./terminal.js";

const epilogue = "Exit codes: 0 done; 1 fault of the command line; 2 wrong arguments or client settings; "
    + "3 refused, nothing changed; 4 not known whether it took effect; 5 no entry process reached; "
    + "6 problems found in a checked file; 7 not finished in the time waited for.";

const { version } = createRequire(import.meta.url)("../package.json") as { version: string; };

/** Runs the operators' command line and returns its exit code. */
export async function runCommandLine(words: readonly string[], terminal: Terminal): Promise<ExitCode> {
    try {
        await createParser(words, terminal).parseAsync();
        return ExitCode.Success;
    }
    catch (error) {
        const told = describeError(error);
        terminal.writeError(words.includes("--json") ? `${JSON.stringify(told)}\n` : `daisyturn: ${told.message}\n`);
        return told.exitCode;
    }
}

function createParser(words: readonly string[], terminal: Terminal): Argv<CommonFlags> {
    let parser = addCommonFlags(yargs([...words]).scriptName("daisyturn"));
    for (
        const addCommands of [
            addSettingsCommands,
            addProfileCommands,
            addEngineCommands,
            addFleetCommands,
            addTimeLineCommand,
            addLedgerCommand,
        ]
    ) {
        parser = addCommands(parser, terminal);
    }
    return parser
        .completion("completion", "Print a completion script for bash or zsh")
        .version(version)
        .demandCommand(1)
        .strict()
        .exitProcess(false)
        .epilogue(epilogue)
        .fail((message, error) => {
            throw error ?? new CommandError(ExitCode.Usage, `${message} (see --help)`);
        });
}

interface ToldError {
    readonly exitCode: ExitCode;
    readonly message: string;
    readonly failure?: unknown;
    readonly problems?: unknown;
}

function describeError(error: unknown): ToldError {
    if (error instanceof CommandError) {
        const { exitCode, message, failure, problems } = error;
        return { exitCode, message, failure, problems };
    }
    if (error instanceof UserError) {
        return { exitCode: ExitCode.Usage, message: error.message };
    }
    return {
        exitCode: ExitCode.Internal,
        message: error instanceof Error ? error.stack ?? error.message : String(error),
    };
}
