// Loads the bundled entry process, from its code cache if there is one that fits; else V8 compiles it anew.
const fs = require("node:fs");
const path = require("node:path");
const vm = require("node:vm");

const bundleFile = path.join(__dirname, "entry.cjs");

/** The bundle's exports, and the script that they came from. */
function loadBundle() {
    const cacheFile = `${bundleFile}.cache`;
    const cachedData = fs.existsSync(cacheFile) ? fs.readFileSync(cacheFile) : undefined;
    const source = `(function (exports, require, module) {${fs.readFileSync(bundleFile, "utf8")}\n})`;
    const script = new vm.Script(source, { filename: bundleFile, cachedData });
    const bundle = { exports: {} };
    script.runInThisContext()(bundle.exports, require, bundle);
    return { script, cacheFile, entry: bundle.exports };
}

module.exports = { loadBundle };
