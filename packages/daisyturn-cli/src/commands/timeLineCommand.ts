import { UserError } from "daisyturn-utils";
import { writeFileSync } from "node:fs";
import type { Argv } from "yargs";
import type { Terminal } from "../terminal.js";
import {
    createEventFilter,
    drawTimeLine,
    type EventFilter,
    formatEvent,
    mergeEvents,
    openLogs,
    type TimedEvent,
} from "../timeLine/index.js";
import type { CommonFlags } from "./commandContext.js";
import { createProblemReporter, describeReadError } from "./logProblems.js";

/** A page with more events opens slowly and is hard to read. */
const defaultDrawnEvents = 20_000;

interface TimeLineFlags extends CommonFlags, Omit<EventFilter, "from" | "until"> {
    readonly logs: readonly string[];
    readonly from?: string;
    readonly until?: string;
    readonly html?: string;
    readonly limit: number;
}

/** `time-line` */
export function addTimeLineCommand(parser: Argv<CommonFlags>, terminal: Terminal): Argv<CommonFlags> {
    return parser.command(
        "time-line <logs..>",
        "Merge logs of all processes into one causal order; - is standard input",
        addFlags,
        flags => showTimeLine(terminal, flags),
    );
}

function addFlags(command: Argv<CommonFlags>) {
    const textOption = (describe: string) => ({ type: "string", requiresArg: true, describe } as const);
    return command
        .positional("logs", { type: "string", array: true, demandOption: true, describe: "Log files" })
        .option("request", textOption("Only events of this request"))
        .option("engine", textOption("Only events of this engine or other target"))
        .option("process", textOption("Only events of this entry process, or of others about it"))
        .option("vm", textOption("Only events of the entry processes on this VM"))
        .option("profile", textOption("Only events of this profile"))
        .option("partner", textOption("Only events of this partner"))
        .option("kind", textOption("Only events of this kind"))
        .option("from", textOption("Only events from this time on, such as 2026-05-04T06:00:00Z"))
        .option("until", textOption("Only events up to this time"))
        .option("html", textOption("Draw the events into this HTML file instead of printing them"))
        .option("limit", {
            type: "number",
            default: defaultDrawnEvents,
            describe: "Maximum number of events in the drawing",
        });
}

async function showTimeLine(terminal: Terminal, flags: TimeLineFlags): Promise<void> {
    const problems = createProblemReporter(terminal);
    const filter = createEventFilter({
        ...flags,
        from: readTime("--from", flags.from),
        until: readTime("--until", flags.until),
    });
    const events = mergeEvents(openLogs(flags.logs, problems.report));
    try {
        if (flags.html === undefined) {
            await printEvents(terminal, flags, filterEvents(events, filter));
        }
        else {
            await drawEvents(terminal, flags, flags.html, filterEvents(events, filter));
        }
    }
    catch (error) {
        throw describeReadError(error);
    }
    problems.reportOmitted();
}

async function* filterEvents(events: AsyncIterable<TimedEvent>, matches: (event: TimedEvent) => boolean) {
    for await (const event of events) {
        if (matches(event)) {
            yield event;
        }
    }
}

async function printEvents(terminal: Terminal, flags: CommonFlags, events: AsyncIterable<TimedEvent>): Promise<void> {
    for await (const event of events) {
        terminal.write(`${flags.json ? JSON.stringify(event) : formatEvent(event)}\n`);
    }
}

async function drawEvents(
    terminal: Terminal,
    flags: TimeLineFlags,
    file: string,
    events: AsyncIterable<TimedEvent>,
): Promise<void> {
    const drawn: TimedEvent[] = [];
    let omitted = 0;
    for await (const event of events) {
        if (drawn.length < flags.limit) {
            drawn.push(event);
        }
        else {
            omitted += 1;
        }
    }
    writeFileSync(file, drawTimeLine(drawn));
    const more = omitted === 0 ? "" : `; ${omitted} later ones are left out (--limit)`;
    terminal.writeError(`${drawn.length} events drawn in ${file}${more}\n`);
}

function readTime(option: string, text: string | undefined): number | undefined {
    const time = text === undefined ? undefined : Date.parse(text);
    if (time !== undefined && Number.isNaN(time)) {
        throw new UserError({
            option,
            value: text ?? "",
            problem: "is not a valid time",
            remedy: "Write it as in: 2026-05-04T06:00:00Z",
        });
    }
    return time;
}
