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
import { createProblemTeller, describeUnreadable } from "./logProblems.js";

/** A page with more events is slow to open and hard to read. */
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
    const wanted = (describe: string) => ({ type: "string", requiresArg: true, describe } as const);
    return command
        .positional("logs", { type: "string", array: true, demandOption: true, describe: "Log files" })
        .option("request", wanted("Only events of this request"))
        .option("engine", wanted("Only events of this engine or other target"))
        .option("process", wanted("Only events of this entry process, or of others about it"))
        .option("vm", wanted("Only events of the entry processes on this VM"))
        .option("profile", wanted("Only events of this profile"))
        .option("partner", wanted("Only events of this partner"))
        .option("kind", wanted("Only events of this kind"))
        .option("from", wanted("Only events from this time on, such as 2026-05-04T06:00:00Z"))
        .option("until", wanted("Only events up to this time"))
        .option("html", wanted("Draw the events into this file in place of printing them"))
        .option("limit", { type: "number", default: defaultDrawnEvents, describe: "Events drawn at most" });
}

async function showTimeLine(terminal: Terminal, flags: TimeLineFlags): Promise<void> {
    const problems = createProblemTeller(terminal);
    const filter = createEventFilter({
        ...flags,
        from: readTime("--from", flags.from),
        until: readTime("--until", flags.until),
    });
    const events = mergeEvents(openLogs(flags.logs, problems.tell));
    try {
        if (flags.html === undefined) {
            await printEvents(terminal, flags, filterEvents(events, filter));
        }
        else {
            await drawEvents(terminal, flags, flags.html, filterEvents(events, filter));
        }
    }
    catch (error) {
        throw describeUnreadable(error);
    }
    problems.sum();
}

async function* filterEvents(events: AsyncIterable<TimedEvent>, fits: (event: TimedEvent) => boolean) {
    for await (const event of events) {
        if (fits(event)) {
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
    let left = 0;
    for await (const event of events) {
        if (drawn.length < flags.limit) {
            drawn.push(event);
        }
        else {
            left += 1;
        }
    }
    writeFileSync(file, drawTimeLine(drawn));
    const more = left === 0 ? "" : `; ${left} later ones are left out (--limit)`;
    terminal.writeError(`${drawn.length} events drawn in ${file}${more}\n`);
}

function readTime(option: string, text: string | undefined): number | undefined {
    const time = text === undefined ? undefined : Date.parse(text);
    if (time !== undefined && Number.isNaN(time)) {
        throw new UserError({
            option,
            value: text ?? "",
            problem: "is no time",
            remedy: "Write it as in: 2026-05-04T06:00:00Z",
        });
    }
    return time;
}
