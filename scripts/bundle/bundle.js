// Bundles the entry process into one file with a code cache, so that it starts without loading and compiling hundreds
// of modules.
import { execFileSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { bundleProgram } from "./bundleProgram.js";
import { readNodeOptions } from "./readNodeOptions.js";

const sibling = name => fileURLToPath(new URL(name, import.meta.url));
/** Options of deploy/system.toml. V8 accepts a code cache only under the options with which it was created. */
const nodeOptions = readNodeOptions();

await bundleProgram("platform/dist/program/runEntry.js", "target/entry.cjs");
await bundleProgram("packages/daisyturn-daemon/dist/life/receiveSignals.js", "target/receiveSignals.cjs");
copyFileSync(sibling("launch.cjs"), "target/daisyturn.cjs");
copyFileSync(sibling("loadBundle.cjs"), "target/loadBundle.cjs");
copyFileSync(sibling("writeCodeCache.cjs"), "target/writeCodeCache.cjs");
rmSync("target/entry.cjs.cache", { force: true });
execFileSync(process.execPath, [...nodeOptions, "target/writeCodeCache.cjs"]);
