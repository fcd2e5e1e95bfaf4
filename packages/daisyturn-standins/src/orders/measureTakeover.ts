import {
    createHttpTableService,
    fencingRowKey,
    type FencingValue,
    parseFencingValue,
    type TableService,
} from "daisyturn";
import { SystemClock } from "daisyturn-utils";
import * as os from "node:os";
import * as path from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { type ChildProgram, startChildProgram } from "../fleet/childProgram.js";
import { formatSummary, summarise } from "../measure/summarise.js";

// Measures the time until the lease has a new holder after the old holder is killed, paused or stopped:
// [--seeds N] [--processes N]. Prints one line for each of these.
const { values } = parseArgs({
    options: { seeds: { type: "string", default: "8" }, processes: { type: "string", default: "4" } },
});

/** How the holder of the lease is ended. */
enum HolderEnd {
    Killed = "killed",
    Paused = "paused",
    Released = "released",
}

const here = path.dirname(fileURLToPath(import.meta.url));
const pollIntervalMilliseconds = 10;
/** The hold time differs from run to run, so that the holder ends at different times after its last renewal. */
const minHoldMilliseconds = 2_000;
const holdSpreadMilliseconds = 1_500;
const maxTakeoverMilliseconds = 60_000;

const clock = new SystemClock();

async function readHolder(table: TableService): Promise<FencingValue | undefined> {
    const rows = await table.read([fencingRowKey("measured")], clock.monotonicNow() + 1_000);
    const row = rows.isOk ? rows.value[0] : undefined;
    return row && parseFencingValue(row.value);
}

/** Resolves once there is a holder with a fencing number greater than `above` that has not released the lease. */
async function awaitHolder(table: TableService, above: number): Promise<FencingValue> {
    const limit = clock.monotonicNow() + maxTakeoverMilliseconds;
    while (clock.monotonicNow() < limit) {
        const holder = await readHolder(table);
        if (holder && holder.fencingNumber > above && !holder.released) {
            return holder;
        }
        await delay(pollIntervalMilliseconds);
    }
    throw new Error("no process acquired the lease within 60 s");
}

function end(program: ChildProgram, holderEnd: HolderEnd): void {
    switch (holderEnd) {
        case HolderEnd.Killed:
            void program.kill();
            break;
        case HolderEnd.Paused:
            program.pause();
            break;
        case HolderEnd.Released:
            void program.stop();
            break;
    }
}

async function measureOnce(holderEnd: HolderEnd, seed: number): Promise<number> {
    const platform = await startChildProgram("platform", path.join(here, "../platform/runPlatform.js"), [
        "--port",
        "0",
    ]);
    const url = platform.words.get("url") ?? "";
    const { tableService, close } = createHttpTableService({ url, clock });
    const names = Array.from({ length: Number(values.processes) }, (...[, index]) => `p${index + 1}`);
    const programs = await Promise.all(
        names.map((id, index) =>
            startChildProgram(id, path.join(here, "runLeaseHolder.js"), [
                "--platform",
                url,
                "--id",
                id,
                "--seed",
                String(100 * seed + index),
            ])
        ),
    );
    try {
        const first = await awaitHolder(tableService, 0);
        await delay(minHoldMilliseconds + (seed * 397) % holdSpreadMilliseconds);
        const holder = programs.find(program => program.words.get("incarnation") === first.holder.incarnation)!;
        const endedAt = clock.monotonicNow();
        end(holder, holderEnd);
        await awaitHolder(tableService, first.fencingNumber);
        return clock.monotonicNow() - endedAt;
    }
    finally {
        await Promise.all(programs.map(program => program.kill()));
        await platform.kill();
        await close();
    }
}

for (const holderEnd of Object.values(HolderEnd)) {
    const durations: number[] = [];
    for (let seed = 1; seed <= Number(values.seeds); seed++) {
        durations.push(await measureOnce(holderEnd, seed));
    }
    const load = os.loadavg()[0]!.toFixed(1);
    process.stdout.write(
        `${holderEnd}: median ${formatSummary(summarise(durations))} ms, n=${durations.length}, machine load ${load}\n`,
    );
}
