import assert from "node:assert/strict";
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { test } from "node:test";
import { createFleetPlan } from "../createFleetPlan.js";
import { launchFleet } from "../launchFleet.js";

/** Exits at once as entry-2. As any other entry process, it writes its process number and listens 500 ms later. */
const entryProgram = `
import { writeFileSync } from "node:fs";
import { join } from "node:path";
const [folder, , , settingsFile] = process.argv.slice(2);
if (settingsFile.endsWith("entry-2.yaml")) {
    process.exit(1);
}
writeFileSync(join(folder, "number"), String(process.pid));
setTimeout(() => process.stdout.write("listening callers=none operators=none\\n"), 500);
setInterval(() => undefined, 1_000);
`;

function isRunning(processNumber: number): boolean {
    try {
        return process.kill(processNumber, 0);
    }
    catch {
        return false;
    }
}

test("if one program fails to start, a program that starts later is ended too", async () => {
    const folder = mkdtempSync(path.join(tmpdir(), "daisyturn-launch-"));
    const script = path.join(folder, "entryProgram.mjs");
    writeFileSync(script, entryProgram);
    try {
        const plan = createFleetPlan({ entryCount: 2, engines: [], services: [], entryProgram: [script, folder] });
        await assert.rejects(launchFleet(plan), /entry-2 ended before it listened/);
        const numberFile = path.join(folder, "number");
        assert.ok(existsSync(numberFile), "the other entry process has not been started");
        assert.equal(isRunning(Number(readFileSync(numberFile, "utf8"))), false);
    }
    finally {
        rmSync(folder, { recursive: true });
    }
});
