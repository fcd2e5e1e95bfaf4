import assert from "node:assert/strict";
import { execFileSync, spawnSync } from "node:child_process";
import { test } from "node:test";

const settingsExitCode = 2;
const heapLimits = ["--max-old-space-size=160", "--max-semi-space-size=4"];

test("starts the bundled entry process from its code cache", () => {
    execFileSync(process.execPath, ["scripts/bundle/bundle.js"]);
    const started = spawnSync(process.execPath, [...heapLimits, "target/daisyturn.cjs"], { encoding: "utf8", env: {} });
    assert.equal(started.status, settingsExitCode);
    assert.match(started.stderr, /DAISYTURN_BOOT/);

    const program = `
        const { script } = require("./target/loadBundle.cjs").loadBundle();
        process.stdout.write(String(script.cachedDataRejected));`;
    const loaded = spawnSync(process.execPath, [...heapLimits, "-e", program], { encoding: "utf8" });
    assert.equal(loaded.stdout, "false");
});
