// Loads the bundled entry process. V8 uses the code cache if it exists and is valid, and compiles the bundle otherwise.
const crypto = require("node:crypto");
const fs = require("node:fs");
const path = require("node:path");
const vm = require("node:vm");

const bundleFile = path.join(__dirname, "entry.cjs");

/** Algorithm of the checksum that precedes the code cache. */
const checksumAlgorithm = "sha256";
const checksumBytes = 32;

function computeChecksum(data) {
    return crypto.createHash(checksumAlgorithm).update(data).digest();
}

/** Returns the content of a file with a code cache. */
function formatCache(data) {
    return Buffer.concat([computeChecksum(data), data]);
}

/**
 * Reads a code cache; returns undefined if it can't be read or is damaged. V8 itself compares only the versions, the options
 * and the lengths, and a damaged cache ends the process by a signal.
 */
function readCache(cacheFile) {
    try {
        const content = fs.readFileSync(cacheFile);
        const data = content.subarray(checksumBytes);
        return computeChecksum(data).equals(content.subarray(0, checksumBytes)) ? data : undefined;
    }
    catch {
        return undefined;
    }
}

/** Returns the bundle's exports, its script and the path of its code cache. */
function loadBundle() {
    const cacheFile = `${bundleFile}.cache`;
    const cachedData = readCache(cacheFile);
    const source = `(function (exports, require, module) {${fs.readFileSync(bundleFile, "utf8")}\n})`;
    const script = new vm.Script(source, { filename: bundleFile, cachedData });
    const bundle = { exports: {} };
    script.runInThisContext()(bundle.exports, require, bundle);
    return { script, cacheFile, entry: bundle.exports };
}

module.exports = { formatCache, loadBundle };
