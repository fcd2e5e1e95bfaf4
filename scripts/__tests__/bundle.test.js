import assert from "node:assert/strict";
import { execFileSync, spawnSync } from "node:child_process";
import { test } from "node:test";
import { readNodeOptions } from "../bundle/readNodeOptions.js";

const settingsExitCode = 2;
const nodeOptions = readNodeOptions();

test("starts the bundled entry process from its code cache", () => {
    execFileSync(process.execPath, ["scripts/bundle/bundle.js"]);
    const started = spawnSync(process.execPath, [...nodeOptions, "target/daisyturn.cjs"], {
        encoding: "utf8",
        env: {},
    });
    assert.equal(started.status, settingsExitCode);
    assert.match(started.stderr, /DAISYTURN_BOOT/);

    const program = `
        const { script } = require("./target/loadBundle.cjs").loadBundle();
        process.stdout.write(String(script.cachedDataRejected));`;
    const loaded = spawnSync(process.execPath, [...nodeOptions, "-e", program], { encoding: "utf8" });
    assert.equal(loaded.stdout, "false");
});

test("loads neither TLS nor compression to start", () => {
    const program = `
        require("./target/loadBundle.cjs").loadBundle();
        process.stdout.write(process.moduleLoadList.filter(name => /(https|tls|zlib)$/.test(name)).join());`;
    const loaded = spawnSync(process.execPath, [...nodeOptions, "-e", program], { encoding: "utf8" });
    assert.equal(loaded.stdout, "");
});

// Loading and setting up unused modules is a fifth of the bundle's part of a start. A module-level schema would load zod.
test("loads neither zod nor modules of Node.js that only checks and worker threads need to start", () => {
    const program = `
        const { readFileSync } = require("node:fs");
        require("./target/loadBundle.cjs").loadBundle();
        process.stdout.write(process.moduleLoadList.filter(name => / (assert|worker_threads)$/.test(name)).join());
        process.stdout.write(String(globalThis.__zod_globalRegistry));`;
    const loaded = spawnSync(process.execPath, [...nodeOptions, "-e", program], { encoding: "utf8" });
    assert.equal(loaded.stdout, "undefined");
});
