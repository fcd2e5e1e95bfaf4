import { EventKind } from "daisyturn-utils";
import type { Argv } from "yargs";
import { formatTable } from "../output/formatTable.js";
import type { Terminal } from "../terminal.js";
import { mergeEvents, openLogs, type TimedEvent } from "../timeLine/index.js";
import type { CommonFlags } from "./commandContext.js";
import { createProblemReporter, describeReadError } from "./logProblems.js";

interface ScalingFlags extends CommonFlags {
    readonly logs: readonly string[];
}

/** Fields of an order's log line, in the order of the columns. */
const fields = [
    "service",
    "zone",
    "kind",
    "desired",
    "listed",
    "needed",
    "prefillWork",
    "decodeWork",
    "reason",
    "answer",
] as const;

/** `scaling` */
export function addScalingCommand(parser: Argv<CommonFlags>, terminal: Terminal): Argv<CommonFlags> {
    return parser.command(
        "scaling <logs..>",
        "Show the orders for engines with the demand behind them, in order of time; - is standard input",
        command =>
            command.positional("logs", { type: "string", array: true, demandOption: true, describe: "Log files" }),
        flags => showOrders(terminal, flags),
    );
}

async function showOrders(terminal: Terminal, { logs, json }: ScalingFlags): Promise<void> {
    const problems = createProblemReporter(terminal);
    const orders: TimedEvent[] = [];
    try {
        for await (const event of mergeEvents(openLogs(logs, problems.report))) {
            if (event.kind === EventKind.EnginesOrdered) {
                orders.push(event);
            }
        }
    }
    catch (error) {
        throw describeReadError(error);
    }
    finally {
        problems.reportOmitted();
    }
    const rows = orders.map(
        event => [new Date(event.at).toISOString(), ...fields.map(field => event.fields[field] ?? "")],
    );
    terminal.write(
        json
            ? `${
                JSON.stringify({
                    orders: orders.map(event => ({ at: new Date(event.at).toISOString(), ...event.fields })),
                })
            }\n`
            : formatTable(["at", ...fields], rows),
    );
}
