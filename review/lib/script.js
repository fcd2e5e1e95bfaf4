// The frame of a script: the record, the time limit and the exit code.
import { appendFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { recorder } from "./recorder.js";

/** Whether the disruption is played; it is left out with TROUBLE=0. */
export const hasTrouble = process.env.TROUBLE !== "0";

const maxMilliseconds = 110_000;
const flushMilliseconds = 200;

/**
 * Runs a case and exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
 * @param recordFile URL of the record, in the folder of the case
 * @param play gets `record` and `onEnd`; returns what was broken, undefined if nothing
 */
export async function runCase(recordFile, play) {
    const file = fileURLToPath(recordFile);
    const startedAt = performance.now();
    const ends = [];
    const lines = [];
    writeFileSync(file, `trouble: ${hasTrouble ? "yes" : "no"}\n`);
    const record = text => {
        lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}\n`);
    };
    const flush = () => appendFileSync(file, lines.splice(0).join(""));
    const flushing = setInterval(flush, flushMilliseconds);
    flushing.unref();
    recorder.record = record;
    let isFinishing = false;
    const finish = async (code, text) => {
        if (isFinishing) {
            return;
        }
        isFinishing = true;
        record(text);
        process.stdout.write(`${text}\n`);
        for (const end of ends.reverse()) {
            await end();
        }
        flush();
        process.exit(code);
    };
    const timer = setTimeout(() => void finish(2, "could not run: it took too long"), maxMilliseconds);
    timer.unref();
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.on(signal, () => void finish(2, `could not run: ${signal}`));
    }
    // A fault of the script must not leave the processes that it started behind.
    for (const event of ["uncaughtException", "unhandledRejection"]) {
        process.on(event, error => void finish(2, `could not run: ${error?.stack ?? error}`));
    }
    try {
        const broken = await play({ record, onEnd: end => ends.push(end) });
        await finish(broken ? 1 : 0, broken ? `BROKEN: ${broken}` : "held");
    }
    catch (error) {
        await finish(2, `could not run: ${error.stack ?? error}`);
    }
}
