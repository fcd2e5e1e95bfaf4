import assert from "node:assert/strict";
import { execFileSync, spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import * as fs from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
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

/** Replaces the loader of the bundle: says that it loads, and goes on once the file `continue` exists. */
const heldLoader = `
    const fs = require("node:fs");
    exports.loadBundle = () => {
        fs.writeSync(1, "loading");
        while (!fs.existsSync(__dirname + "/continue")) {}
        const waiting = setInterval(() => undefined, 1_000);
        let received = 0;
        const handle = signal => {
            fs.writeSync(1, " " + signal);
            if (++received === 4) {
                clearInterval(waiting);
            }
        };
        return { entry: { runEntry: signals => signals.handOver(handle) } };
    };`;

// Guards against signals that end the bundled process because its listeners are installed after the bundle was loaded.
test("signals while the bundle is loaded do not end the process, and reach the program", async () => {
    const folder = fs.mkdtempSync(path.join(tmpdir(), "daisyturn-bundle-"));
    ["daisyturn.cjs", "receiveSignals.cjs"].forEach(name => fs.copyFileSync(`target/${name}`, path.join(folder, name)));
    fs.writeFileSync(path.join(folder, "loadBundle.cjs"), heldLoader);
    const child = spawn(process.execPath, [path.join(folder, "daisyturn.cjs")], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    try {
        let output = "";
        child.stdout.on("data", data => output += data);
        await once(child.stdout, "data");
        ["SIGHUP", "SIGUSR1", "SIGUSR2"].forEach(signal => child.kill(signal));
        child.kill("SIGTERM");
        fs.writeFileSync(path.join(folder, "continue"), "");
        await once(child, "close");
        assert.deepEqual(output.split(" ").sort(), ["SIGHUP", "SIGTERM", "SIGUSR1", "SIGUSR2", "loading"]);
    }
    finally {
        child.kill("SIGKILL");
        fs.rmSync(folder, { recursive: true });
    }
});

// Guards against a bundled process that does not start because its code cache is damaged or can't be read.
test("starts without its code cache if that is absent, cut, damaged or no file", () => {
    const folder = fs.mkdtempSync(path.join(tmpdir(), "daisyturn-bundle-"));
    const cacheFile = path.join(folder, "entry.cjs.cache");
    const damage = cache => Buffer.from(cache).fill(0xa5, cache.length >> 1, (cache.length >> 1) + 4_096);
    const states = {
        absent: () => undefined,
        cut: cache => fs.writeFileSync(cacheFile, cache.subarray(0, cache.length >> 1)),
        damaged: cache => fs.writeFileSync(cacheFile, damage(cache)),
        "no file": () => fs.mkdirSync(cacheFile),
    };
    try {
        fs.cpSync("target", folder, { recursive: true });
        const cache = fs.readFileSync(cacheFile);
        for (const [state, change] of Object.entries(states)) {
            fs.rmSync(cacheFile, { recursive: true, force: true });
            change(cache);
            const started = spawnSync(process.execPath, [...nodeOptions, path.join(folder, "daisyturn.cjs")], {
                encoding: "utf8",
                env: {},
            });
            assert.equal(started.status, settingsExitCode, `${state}: ${started.signal} ${started.stderr}`);
        }
    }
    finally {
        fs.rmSync(folder, { recursive: true });
    }
});
