// Bundles the entry process into one file with a code cache, so that it starts without loading and compiling hundreds
// of modules.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import { createRequire } from "node:module";
import { fileURLToPath } from "node:url";
import { readNodeOptions } from "./readNodeOptions.js";

const sibling = name => fileURLToPath(new URL(name, import.meta.url));
/** Options of deploy/system.toml. V8 accepts a code cache only under the options with which it was created. */
const nodeOptions = readNodeOptions();
/** Modules of Node.js that the bundle imports but that an entry process hardly ever uses. */
const rarelyUsed = /^(node:)?(https|v8)$/;

/** Creates a plugin that replaces each module whose name matches by a file of this folder. */
function replaceModules(replacements) {
    const setup = ({ onResolve }) =>
        replacements.forEach(([filter, file]) => onResolve({ filter }, () => ({ path: sibling(file) })));
    return { name: "replace-modules", setup };
}

/**
 * Creates a plugin that loads modules of Node.js when one of their members is first used. The entry process speaks plain
 * HTTP/1.1; node:https and its TLS are a tenth of the processor time of a start.
 */
function loadWhenUsed(filter) {
    const namespace = "load-when-used";
    const setup = ({ onResolve, onLoad }) => {
        onResolve(
            { filter },
            ({ path, namespace: importer }) =>
                importer === namespace ? { path, external: true } : { path: path.replace("node:", ""), namespace },
        );
        onLoad({ filter: /.*/, namespace }, ({ path }) => {
            const members = Object.keys(createRequire(import.meta.url)(`node:${path}`));
            const define = member =>
                `${JSON.stringify(member)}: { enumerable: true, get: () => require("node:${path}").${member} }`;
            return { contents: `Object.defineProperties(exports, {${members.map(define).join()}});` };
        });
    };
    return { name: namespace, setup };
}

await build({
    entryPoints: ["platform/dist/program/runEntry.js"],
    outfile: "target/entry.cjs",
    plugins: [
        loadWhenUsed(rarelyUsed),
        replaceModules([
            [/^undici$/, "undiciClients.cjs"],
            [/^node:http2$/, "noHttp2.cjs"],
            [/^thread-stream$/, "noThreadStream.cjs"],
            [/^\.\/lib\/pushgateway$/, "noPushgateway.cjs"],
        ]),
    ],
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
execFileSync(process.execPath, [...nodeOptions, "target/writeCodeCache.cjs"]);
