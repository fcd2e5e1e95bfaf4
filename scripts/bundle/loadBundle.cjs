// Loads the bundled entry process. V8 uses the code cache if it exists and is valid, and compiles the bundle otherwise.
const fs = require("node:fs");
const path = require("node:path");
const vm = require("node:vm");

const bundleFile = path.join(__dirname, "entry.cjs");

/** Returns the bundle's exports, its script and the path of its code cache. */
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
