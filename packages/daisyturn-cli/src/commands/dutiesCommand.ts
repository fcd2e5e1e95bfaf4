import type { Argv } from "yargs";
import { collectDuties } from "../ledger/index.js";
import { formatTable } from "../output/formatTable.js";
import type { Terminal } from "../terminal.js";
import { mergeEvents, openLogs } from "../timeLine/index.js";
import type { CommonFlags } from "./commandContext.js";
import { createProblemReporter, describeReadError } from "./logProblems.js";

interface DutiesFlags extends CommonFlags {
    readonly logs: readonly string[];
    readonly last: number;
}

const head = ["window", "holder", "accounts", "total", "sends", "answer"];
const defaultWindows = 10;

/** `duties` */
export function addDutiesCommand(parser: Argv<CommonFlags>, terminal: Terminal): Argv<CommonFlags> {
    return parser.command(
        "duties <logs..>",
        "Show who has the duties of the fleet, and the last windows of usage; - is standard input",
        command =>
            command
                .positional("logs", { type: "string", array: true, demandOption: true, describe: "Log files" })
                .option("last", { type: "number", default: defaultWindows, describe: "Number of windows to show" }),
        flags => showDuties(terminal, flags),
    );
}

async function showDuties(terminal: Terminal, { logs, last, json }: DutiesFlags): Promise<void> {
    const problems = createProblemReporter(terminal);
    try {
        const { holder, reports } = await collectDuties(mergeEvents(openLogs(logs, problems.report)));
        const rows = last > 0 ? reports.slice(-last) : [];
        if (json) {
            terminal.write(`${JSON.stringify({ holder, reports: rows })}\n`);
            return;
        }
        const cells = rows.map(row =>
            [row.window, row.holder, row.accounts, row.total, row.sends, row.answer].map(String)
        );
        terminal.write(`holder: ${holder ?? "none"}\n${formatTable(head, cells)}`);
    }
    catch (error) {
        throw describeReadError(error);
    }
    finally {
        problems.reportOmitted();
    }
}
