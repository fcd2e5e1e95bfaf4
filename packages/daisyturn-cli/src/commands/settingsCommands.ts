import { daemonSettingsReader } from "daisyturn-daemon";
import { formatUserError } from "daisyturn-utils";
import type { Argv } from "yargs";
import { CommandError } from "../commandError.js";
import { ExitCode } from "../exitCode.js";
import type { Terminal } from "../terminal.js";
import { type CommonFlags, print } from "./commandContext.js";

interface CheckFlags extends CommonFlags {
    readonly files: readonly string[];
}

/** `settings check` */
export function addSettingsCommands(parser: Argv<CommonFlags>, terminal: Terminal): Argv<CommonFlags> {
    return parser.command("settings", "Check settings files of the daemon", settings =>
        settings
            .command("check <files..>", "Report all problems of settings files", command =>
                command.positional("files", {
                    type: "string",
                    array: true,
                    demandOption: true,
                    describe: "YAML files",
                }), flags => checkFiles(terminal, flags))
            .demandCommand(1));
}

function checkFiles(terminal: Terminal, flags: CheckFlags): void {
    const problems = flags.files.flatMap(file => {
        const checked = daemonSettingsReader.checkFile(file);
        return checked.isErr ? checked.error : [];
    });
    print(terminal, flags, { files: flags.files, problems }, () =>
        problems.length === 0
            ? `${flags.files.join(", ")}: no problems\n`
            : problems.map(problem => `${formatUserError(problem)}\n`).join(""));
    if (problems.length > 0) {
        throw new CommandError(ExitCode.ProblemsFound, `${problems.length} problems found`, { problems });
    }
}
