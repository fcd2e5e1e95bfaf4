// Bundles the entry process into one file with a code cache, so that it starts without loading and compiling hundreds
// of modules.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import { fileURLToPath } from "node:url";

const sibling = name => fileURLToPath(new URL(name, import.meta.url));
/** Heap limits of deploy/system.toml. V8 accepts a code cache only under the heap limits with which it was created. */
const heapLimits = ["--max-old-space-size=160", "--max-semi-space-size=4"];

/** Creates a plugin that replaces each module whose name matches by a file of this folder. */
function replaceModules(replacements) {
    const setup = ({ onResolve }) =>
        replacements.forEach(([filter, file]) => onResolve({ filter }, () => ({ path: sibling(file) })));
    return { name: "replace-modules", setup };
}

await build({
    entryPoints: ["platform/dist/program/runEntry.js"],
    outfile: "target/entry.cjs",
    plugins: [replaceModules([
        [/^undici$/, "undiciClients.cjs"],
        [/^node:http2$/, "noHttp2.cjs"],
    ])],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    keepNames: false,
    legalComments: "none",
});
copyFileSync(sibling("launch.cjs"), "target/daisyturn.cjs");
copyFileSync(sibling("loadBundle.cjs"), "target/loadBundle.cjs");
copyFileSync(sibling("writeCodeCache.cjs"), "target/writeCodeCache.cjs");
rmSync("target/entry.cjs.cache", { force: true });
execFileSync(process.execPath, [...heapLimits, "target/writeCodeCache.cjs"]);
