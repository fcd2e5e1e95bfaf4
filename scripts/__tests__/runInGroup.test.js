import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { runInGroup } from "../runInGroup.js";

const soonMilliseconds = 5_000;

/** Starts a program that does not stop at SIGTERM and notes its number; `after` is what comes then. */
function createProgram(numberFile, after) {
    const child = `process.on("SIGTERM", () => undefined); setInterval(() => undefined, 1_000);`;
    return `
        const child = require("node:child_process").spawn(process.execPath, ["-e", ${JSON.stringify(child)}]);
        require("node:fs").writeFileSync(${JSON.stringify(numberFile)}, String(child.pid));
        ${after}
    `;
}

function isRunning(processNumber) {
    try {
        return process.kill(processNumber, 0);
    }
    catch {
        return false;
    }
}

async function runProgram(after, limitMilliseconds) {
    const folder = mkdtempSync(path.join(tmpdir(), "daisyturn-group-"));
    const numberFile = path.join(folder, "number");
    try {
        const status = await runInGroup(["-e", createProgram(numberFile, after)], limitMilliseconds);
        const left = Number(readFileSync(numberFile, "utf8"));
        const deadline = performance.now() + soonMilliseconds;
        while (isRunning(left) && performance.now() < deadline) {
            await delay(20);
        }
        return { status, isLeftRunning: isRunning(left) };
    }
    finally {
        rmSync(folder, { recursive: true });
    }
}

test("returns a program's status, and ends what the program has left running", async () => {
    assert.deepEqual(await runProgram("process.exit(3);", 60_000), { status: 3, isLeftRunning: false });
});

test("ends a program that does not end by itself, with all that it has started", async () => {
    assert.deepEqual(await runProgram("", 1_000), { status: 1, isLeftRunning: false });
});
