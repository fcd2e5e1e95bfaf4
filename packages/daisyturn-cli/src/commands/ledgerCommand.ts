import type { Argv } from "yargs";
import {
    collectCalls,
    type LedgerRow,
    type SizeRow,
    summarizeByAccount,
    summarizeCalls,
    sumSizes,
} from "../ledger/index.js";
import { formatTable } from "../output/formatTable.js";
import type { Terminal } from "../terminal.js";
import { mergeEvents, openLogs, type TimedEvent } from "../timeLine/index.js";
import type { CommonFlags } from "./commandContext.js";
import { createProblemReporter, describeReadError } from "./logProblems.js";

interface LedgerFlags extends CommonFlags {
    readonly logs: readonly string[];
    readonly bySize: boolean;
    readonly byAccount: boolean;
}

const sizeHead = ["route", "part", "ended", "served", "against all"];
const ratioDecimals = 2;
const head = ["outcome", "calls", "tokens", "first byte", "longest pause", "reading", "forecast"];

/** `ledger` */
export function addLedgerCommand(parser: Argv<CommonFlags>, terminal: Terminal): Argv<CommonFlags> {
    return parser.command(
        "ledger <logs..>",
        "Show how forwarded calls ended, by route, with median times; - is standard input",
        command =>
            command
                .positional("logs", { type: "string", array: true, demandOption: true, describe: "Log files" })
                .option("by-account", {
                    type: "boolean",
                    default: false,
                    conflicts: "by-size",
                    describe: "Group the calls by client account in place of the route",
                })
                .option("by-size", {
                    type: "boolean",
                    default: false,
                    describe: "Show how many prompts of each size ended, and how many of them were served",
                }),
        flags => flags.bySize ? showSizes(terminal, flags) : showLedger(terminal, flags),
    );
}

async function showLedger(terminal: Terminal, flags: LedgerFlags): Promise<void> {
    const { calls, incomplete } = await readLogs(terminal, flags, collectCalls);
    const rows = flags.byAccount ? summarizeByAccount(calls) : summarizeCalls(calls);
    const rowHead = [flags.byAccount ? "account" : "route", ...head];
    terminal.write(
        flags.json ? `${JSON.stringify({ rows, incomplete })}\n` : formatTable(rowHead, rows.map(listCells)),
    );
    if (incomplete > 0) {
        terminal.writeError(`${incomplete} calls without their first or last line are left out\n`);
    }
}

async function showSizes(terminal: Terminal, flags: LedgerFlags): Promise<void> {
    const rows = await readLogs(terminal, flags, sumSizes);
    terminal.write(flags.json ? `${JSON.stringify({ rows })}\n` : formatTable(sizeHead, rows.map(listSizeCells)));
}

/** Reads the logs in the order of their stamps, and reports problems of lines. */
async function readLogs<Found>(
    terminal: Terminal,
    { logs }: LedgerFlags,
    read: (events: AsyncIterable<TimedEvent>) => Promise<Found>,
): Promise<Found> {
    const problems = createProblemReporter(terminal);
    try {
        return await read(mergeEvents(openLogs(logs, problems.report)));
    }
    catch (error) {
        throw describeReadError(error);
    }
    finally {
        problems.reportOmitted();
    }
}

function listCells(row: LedgerRow): readonly string[] {
    const amounts = [row.tokens, row.firstByte, row.longestPause, row.reading, row.forecastReading];
    return [row.route, row.outcome, String(row.calls), ...amounts.map(amount => String(amount ?? ""))];
}

function listSizeCells({ route, part, ended, served, ratio }: SizeRow): readonly string[] {
    return [route, part, String(ended), String(served), ratio?.toFixed(ratioDecimals) ?? ""];
}
