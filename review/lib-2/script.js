// Runs the script of one case: records what happens, bounds its time, and ends with the exit code of its result.
import { rmSync, writeFileSync, appendFileSync } from "node:fs";

const maxMilliseconds = 110_000;

/** Result of a script that could not run. */
export class CannotRun extends Error {}

/**
 * Runs `play` and records it in `file`. `play` returns descriptions of the violations that it has seen. Its functions: `record` writes a line,
 * `onClose` registers what is ended afterwards, `waitFor` waits for a condition, and `sleep` for a time.
 */
export async function runScript(file, play) {
    rmSync(file, { force: true });
    writeFileSync(file, "");
    const startedAt = performance.now();
    const record = text => appendFileSync(file, `${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}\n`);
    const closers = [];
    const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));
    const waitFor = async (condition, milliseconds, description) => {
        const deadline = performance.now() + milliseconds;
        while (!await condition()) {
            if (performance.now() > deadline) {
                throw new CannotRun(`not in time: ${description}`);
            }
            await sleep(20);
        }
    };
    const close = async () => {
        for (const end of closers.reverse()) {
            await Promise.race([Promise.resolve().then(end).catch(() => undefined), sleep(3_000)]);
        }
    };
    const isTrouble = process.env.TROUBLE !== "0";
    let code;
    try {
        const limit = sleep(maxMilliseconds).then(() => {
            throw new CannotRun("the script takes too long");
        });
        const tools = { record, sleep, waitFor, isTrouble, onClose: end => void closers.push(end) };
        const broken = await Promise.race([play(tools), limit]);
        broken.forEach(text => record(`BROKEN ${text}`));
        code = broken.length > 0 ? 1 : 0;
    }
    catch (error) {
        record(`could not run: ${error.stack ?? error}`);
        code = 2;
    }
    await close();
    record(`exit code ${code}`);
    process.exit(code);
}
