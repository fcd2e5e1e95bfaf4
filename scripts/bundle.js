// Bundles the entry process into one file, so that it starts without loading hundreds of modules.
import { build } from "esbuild";

await build({
    entryPoints: ["platform/dist/main.js"],
    outfile: "target/daisyturn.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    keepNames: false,
    legalComments: "none",
});
