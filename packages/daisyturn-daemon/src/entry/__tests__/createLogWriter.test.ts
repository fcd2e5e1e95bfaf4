import assert from "node:assert/strict";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createLogWriter } from "../createLogWriter.js";

const pollMilliseconds = 20;
const maxPolls = 250;

test("lines are written without a flush, also after a time without lines", async () => {
    const folder = mkdtempSync(join(tmpdir(), "daisyturn-log-"));
    try {
        const file = join(folder, "entry.log");
        const writer = createLogWriter(file);
        const waitUntilWritten = async (text: string) => {
            // The file is opened asynchronously, so it may not exist at the first poll.
            const read = () => existsSync(file) ? readFileSync(file, "utf8") : "";
            for (let polls = 0; read() !== text; polls++) {
                assert.ok(polls < maxPolls, "the lines were not written");
                await sleep(pollMilliseconds);
            }
        };
        writer.writeLine("first\n");
        writer.writeLine("second\n");
        await waitUntilWritten("first\nsecond\n");
        writer.writeLine("third\n");
        await waitUntilWritten("first\nsecond\nthird\n");
        writer.writeLine("last\n");
        writer.flush();
        assert.equal(readFileSync(file, "utf8"), "first\nsecond\nthird\nlast\n");
    }
    finally {
        rmSync(folder, { recursive: true });
    }
});
