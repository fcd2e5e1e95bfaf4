import type { Argv } from "yargs";
import { collectCalls, type LedgerRow, summarizeCalls } from "../ledger/index.js";
import { formatTable } from "../output/formatTable.js";
import type { Terminal } from "../terminal.js";
import { mergeEvents, openLogs } from "../timeLine/index.js";
import type { CommonFlags } from "./commandContext.js";
import { createProblemTeller, describeUnreadable } from "./logProblems.js";

interface LedgerFlags extends CommonFlags {
    readonly logs: readonly string[];
}

const head = ["route", "outcome", "calls", "tokens", "first byte", "longest pause", "reading", "forecast"];

/** `ledger` */
export function addLedgerCommand(parser: Argv<CommonFlags>, terminal: Terminal): Argv<CommonFlags> {
    return parser.command(
        "ledger <logs..>",
        "How forwarded calls ended, by route, with medians of their times; - is standard input",
        command =>
            command.positional("logs", { type: "string", array: true, demandOption: true, describe: "Log files" }),
        flags => showLedger(terminal, flags),
    );
}

async function showLedger(terminal: Terminal, flags: LedgerFlags): Promise<void> {
    const problems = createProblemTeller(terminal);
    try {
        const { calls, incomplete } = await collectCalls(mergeEvents(openLogs(flags.logs, problems.tell)));
        const rows = summarizeCalls(calls);
        terminal.write(
            flags.json ? `${JSON.stringify({ rows, incomplete })}\n` : formatTable(head, rows.map(listCells)),
        );
        if (incomplete > 0) {
            terminal.writeError(`${incomplete} calls without their first or last line are left out\n`);
        }
    }
    catch (error) {
        throw describeUnreadable(error);
    }
    problems.sum();
}

function listCells(row: LedgerRow): readonly string[] {
    const amounts = [row.tokens, row.firstByte, row.longestPause, row.reading, row.forecastReading];
    return [row.route, row.outcome, String(row.calls), ...amounts.map(amount => String(amount ?? ""))];
}
