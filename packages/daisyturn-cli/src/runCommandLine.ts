import { UserError } from "daisyturn-utils";
import { createRequire } from "node:module";
import yargs, { type Argv } from "yargs";
import { CommandError } from "./commandError.js";
import { addCommonFlags, type CommonFlags } from "./commands/commandContext.js";
import { addDutiesCommand } from "./commands/dutiesCommand.js";
import { addEngineCommands } from "./commands/engineCommands.js";
import { addFleetCommands } from "./commands/fleetCommands.js";
import { addLedgerCommand } from "./commands/ledgerCommand.js";
import { addProfileCommands } from "./commands/profileCommands.js";
import { addScalingCommand } from "./commands/scalingCommand.js";
import { addSettingsCommands } from "./commands/settingsCommands.js";
import { addTimeLineCommand } from "./commands/timeLineCommand.js";
import { ExitCode } from "./exitCode.js";
import type { Terminal } from "./terminal.js";

const epilogue = "Exit codes: 0 success; 1 internal error of the command line; 2 invalid arguments or client settings; "
    + "3 refused, nothing changed; 4 outcome unknown; 5 no entry process reachable, nothing changed; "
    + "6 problems found in a checked file; 7 not finished within the waiting time.";

const { version } = createRequire(import.meta.url)("../package.json") as { version: string; };

/** Runs the operators' command line and returns its exit code. */
export async function runCommandLine(args: readonly string[], terminal: Terminal): Promise<ExitCode> {
    try {
        await createParser(args, terminal).parseAsync();
        return ExitCode.Success;
    }
    catch (error) {
        const report = describeError(error);
        terminal.writeError(args.includes("--json") ? `${JSON.stringify(report)}\n` : `daisyturn: ${report.message}\n`);
        return report.exitCode;
    }
}

function createParser(args: readonly string[], terminal: Terminal): Argv<CommonFlags> {
    let parser = addCommonFlags(yargs([...args]).scriptName("daisyturn"));
    for (
        const addCommands of [
            addSettingsCommands,
            addProfileCommands,
            addEngineCommands,
            addFleetCommands,
            addTimeLineCommand,
            addLedgerCommand,
            addScalingCommand,
            addDutiesCommand,
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

interface ErrorReport {
    readonly exitCode: ExitCode;
    readonly message: string;
    readonly failure?: unknown;
    readonly problems?: unknown;
}

function describeError(error: unknown): ErrorReport {
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
