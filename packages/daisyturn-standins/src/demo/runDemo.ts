import { ChangeAction, type ChangeAnswer, HoldKind, type ItemChange, ItemKind } from "daisyturn";
import { drawTimeLine, type LineProblem, mergeEvents, openLogs, type TimedEvent } from "daisyturn-cli";
import { writeFileSync } from "node:fs";
import * as path from "node:path";
import { createFleetPlan } from "../fleet/createFleetPlan.js";
import { type Fleet, launchFleet } from "../fleet/launchFleet.js";
import { publishChange } from "../fleet/operatorClient.js";
import { createProfile, ModelName, PartnerName, putItems } from "../fleet/partnerConfiguration.js";
import { publishFleet } from "../fleet/publishFleet.js";
import { CallOutcome } from "../load/callerClient.js";
import type { MixedRecord } from "../load/mixedLoad.js";
import { runMixedLoad } from "../load/runMixedLoad.js";
import { type LoadSummary, summarizeLoad } from "../load/summarizeLoad.js";

// Demonstration for new users: a small fleet under a mixed load, with planned changes and a killed process.

const seed = 20_261_202;
const requestCount = 400;
const requestsPerSecond = 60;
const progressIntervalMilliseconds = 1_000;
const maxPrintedProblems = 5;

process.exitCode = await runDemo();

/** Runs the demonstration. The exit code is 1 if a request was lost, doubled, answered wrongly or refused but run. */
async function runDemo(): Promise<number> {
    printLine("starting stand-ins and three entry processes");
    const plan = createFleetPlan();
    const fleet = await launchFleet(plan);
    try {
        const answers = await publishFleet(fleet, plan);
        answers.forEach(answer => printLine(`published: ${describeAnswer(answer)}`));
        const records = await runLoadWithChanges(fleet);
        const summary = await summarizeLoad(fleet, requestCount, records);
        const exitCodes = await fleet.stop();
        printLine(`stopped; exit codes of the entry processes: ${exitCodes.map(code => code ?? "killed").join(", ")}`);
        printSummary(fleet, summary, records);
        printLine(`time line: ${await writeTimeLine(fleet)}`);
        return summary.wrong + summary.lost + summary.doubled + summary.falselyRefused > 0 ? 1 : 0;
    }
    catch (error) {
        await fleet.stop();
        throw error;
    }
}

async function runLoadWithChanges(fleet: Fleet): Promise<MixedRecord[]> {
    let ended = 0;
    const progress = setInterval(() => printLine(`${ended} of ${requestCount} ended`), progressIntervalMilliseconds);
    const records = await runMixedLoad({
        seed,
        requestCount,
        requestsPerSecond,
        entryUrls: () => fleet.entries.filter(entry => !entry.program.hasExited()).map(entry => entry.callerUrl),
        afterSending: number => makeChange(fleet, number),
        onEnded: () => {
            ended += 1;
        },
    });
    clearInterval(progress);
    return records;
}

/** Applies the change that is due after request `number` has been sent, if any. */
function makeChange(fleet: Fleet, number: number): Promise<void> | undefined {
    switch (number) {
        case Math.floor(requestCount * 0.25):
            return publishProfile(fleet);
        case Math.floor(requestCount * 0.4):
            return drainEngine(fleet);
        case Math.floor(requestCount * 0.6):
            return killEntry(fleet);
        default:
            return undefined;
    }
}

async function publishProfile(fleet: Fleet): Promise<void> {
    const partner = PartnerName.Jizdenka;
    const profile = createProfile(partner, "platform-day", ModelName.Large, { roleChangeCost: 8 });
    const answer = await publishAt(fleet, 1, partner, putItems([profile]));
    printLine(`${partner} published a profile: ${describeAnswer(answer)}`);
}

async function drainEngine(fleet: Fleet): Promise<void> {
    const partner = PartnerName.Nyamata;
    const hold = { kind: ItemKind.Hold, partner, name: "engine-1", holdKind: HoldKind.Drain } as const;
    const answer = await publishAt(fleet, 0, partner, [{ action: ChangeAction.Put, item: hold }]);
    printLine(`${partner} drains engine-1: ${describeAnswer(answer)}`);
}

async function killEntry(fleet: Fleet): Promise<void> {
    const entry = fleet.entries[2];
    printLine(`killing ${entry?.processId}`);
    await entry?.program.kill();
}

function publishAt(fleet: Fleet, entry: number, partner: PartnerName, changes: readonly ItemChange[]) {
    return publishChange(fleet.entries[entry]?.operatorUrl ?? "", fleet.operatorKey(partner), changes);
}

function describeAnswer(answer: ChangeAnswer): string {
    return `generation ${answer.generation} in force at ${answer.inForceAt.join(", ")}`;
}

function printSummary(fleet: Fleet, summary: LoadSummary, records: readonly MixedRecord[]): void {
    printLine(`answered ${summary.answered} of ${summary.sent}, compared byte for byte; wrong ${summary.wrong}`);
    printLine(`refused (not run) ${summary.refused}, may have run ${summary.unknown}`);
    printLine(`resumed at another entry process ${summary.moved}`);
    printLine(`doubled ${summary.doubled}, lost ${summary.lost}, refused but run ${summary.falselyRefused}`);
    records.filter(({ record }) => record.outcome !== CallOutcome.Answered)
        .slice(0, maxPrintedProblems)
        .forEach(({ kind, record }) => printLine(`  ${kind}: ${record.outcome} ${record.reason ?? ""}`));
}

/** Merges the logs of all entry processes into one HTML page in the same folder. */
async function writeTimeLine(fleet: Fleet): Promise<string> {
    const unreadable: LineProblem[] = [];
    const events: TimedEvent[] = [];
    const logs = openLogs(fleet.entries.map(entry => entry.logFile), line => unreadable.push(line));
    for await (const event of mergeEvents(logs)) {
        events.push(event);
    }
    const file = path.join(fleet.folder, "time-line.html");
    writeFileSync(file, drawTimeLine(events));
    return unreadable.length === 0 ? file : `${file} (${unreadable.length} lines could not be read)`;
}

function printLine(line: string): void {
    process.stdout.write(`${line}\n`);
}
