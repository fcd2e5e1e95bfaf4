// Writes the code cache of the bundle in the same folder. It contains the code that was compiled during loading.
const fs = require("node:fs");
const { formatCache, loadBundle } = require("./loadBundle.cjs");

const { script, cacheFile } = loadBundle();
fs.writeFileSync(cacheFile, formatCache(script.createCachedData()));
