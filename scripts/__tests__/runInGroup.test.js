import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { runInGroup } from "../runInGroup.js";

const endLimitMilliseconds = 5_000;

/**
 * Returns the source of a program that starts a child process, which ignores SIGTERM, and writes its process id to a
 * file. `after` is code that runs afterwards.
 */
function createProgram(processIdFile, after) {
    const child = `process.on("SIGTERM", () => undefined); setInterval(() => undefined, 1_000);`;
    return `
        const child = require("node:child_process").spawn(process.execPath, ["-e", ${JSON.stringify(child)}]);
        require("node:fs").writeFileSync(${JSON.stringify(processIdFile)}, String(child.pid));
        ${after}
    `;
}

function isRunning(processId) {
    try {
        return process.kill(processId, 0);
    }
    catch {
        return false;
    }
}

async function runProgram(after, limitMilliseconds) {
    const folder = mkdtempSync(path.join(tmpdir(), "daisyturn-group-"));
    const processIdFile = path.join(folder, "number");
    try {
        const status = await runInGroup(["-e", createProgram(processIdFile, after)], limitMilliseconds);
        const childId = Number(readFileSync(processIdFile, "utf8"));
        const deadline = performance.now() + endLimitMilliseconds;
        while (isRunning(childId) && performance.now() < deadline) {
            await delay(20);
        }
        return { status, isLeftRunning: isRunning(childId) };
    }
    finally {
        rmSync(folder, { recursive: true });
    }
}

test("returns the program's exit status, and ends processes that it has left running", async () => {
    assert.deepEqual(await runProgram("process.exit(3);", 60_000), { status: 3, isLeftRunning: false });
});

test("ends a program that exceeds the time limit, with all processes that it has started", async () => {
    assert.deepEqual(await runProgram("", 1_000), { status: 1, isLeftRunning: false });
});
