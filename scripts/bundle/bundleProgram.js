import { build } from "esbuild";
import { createRequire } from "node:module";
import { fileURLToPath } from "node:url";

const sibling = name => fileURLToPath(new URL(name, import.meta.url));
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

/** Bundles a program or a module of the entry process, with the modules that it hardly ever uses loaded on use or left out. */
export async function bundleProgram(entryPoint, outfile) {
    await build({
        entryPoints: [entryPoint],
        outfile,
        plugins: [
            loadWhenUsed(rarelyUsed),
            replaceModules([
                [/^undici$/, "undiciClients.cjs"],
                [/^zod$/, "zodWhenUsed.cjs"],
                [/^\.\.\/locales\/index\.c?js$/, "noLocales.cjs"],
                [/^(node:)?assert$/, "assertWhenFailed.cjs"],
                [/^worker_threads$/, "mainThread.cjs"],
                [/^module$/, "noModuleLoader.cjs"],
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
}
