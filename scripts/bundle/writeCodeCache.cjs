// Writes the code cache of the bundle beside which it stands: what its loading has compiled.
const fs = require("node:fs");
const { loadBundle } = require("./loadBundle.cjs");

const { script, cacheFile } = loadBundle();
fs.writeFileSync(cacheFile, script.createCachedData());
