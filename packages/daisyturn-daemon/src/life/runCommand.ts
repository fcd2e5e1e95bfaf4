import { UserError } from "daisyturn-utils";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { serveEntryProcess } from "../entry/serveEntryProcess.js";
import { loadDaemonSettings } from "../settings/loadDaemonSettings.js";

/** Exit code for invalid settings or arguments. */
const usageExitCode = 2;

await yargs(hideBin(process.argv))
    .scriptName("daisyturn-daemon")
    .command(
        "serve",
        "Run an entry process until SIGTERM or SIGINT.",
        command => command.option("settings", { type: "string", demandOption: true, describe: "YAML settings file" }),
        async flags => {
            try {
                await serveEntryProcess(loadDaemonSettings(flags.settings));
                // Ends any task that did not end in time: nothing may run after the process has reported its stop.
                process.exit();
            }
            catch (error) {
                reportAndExit(error);
            }
        },
    )
    .demandCommand(1)
    .strict()
    .fail((message, error) => {
        throw error ?? new UserError({
            option: "command line",
            value: process.argv.slice(2).join(" "),
            problem: message,
            remedy: "See --help.",
        });
    })
    .parse();

function reportAndExit(error: unknown): void {
    if (!(error instanceof UserError)) {
        throw error;
    }
    process.stderr.write(`${error.message}\n`);
    process.exitCode = usageExitCode;
}
