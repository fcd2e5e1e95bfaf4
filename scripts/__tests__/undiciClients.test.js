import assert from "node:assert/strict";
import * as fs from "node:fs";
import { createRequire } from "node:module";
import * as path from "node:path";
import { test } from "node:test";

const bundledFolders = [
    "packages/daisyturn/src",
    "packages/daisyturn-daemon/src",
    "packages/daisyturn-utils/src",
    "platform/src",
];
/** Used by the product's own interface alone, which the bundle does not contain. */
const unbundledFile = "targetDispatcher.ts";
const importPattern = /import \{([^}]*)\} from "undici"/g;

/** Lists the values that a source imports from undici; types are left out. */
function listImports(file) {
    return [...fs.readFileSync(file, "utf8").matchAll(importPattern)]
        .flatMap(([, names]) => names.split(","))
        .map(name => name.trim())
        .filter(name => name !== "" && !name.startsWith("type "));
}

// The bundle then builds without an error, and the entry process ends at its start.
test("the bundle's replacement of undici has everything that the entry process imports", () => {
    const files = bundledFolders.flatMap(folder =>
        fs.readdirSync(folder, { recursive: true })
            .filter(entry => entry.endsWith(".ts") && !entry.includes("__") && !entry.endsWith(unbundledFile))
            .map(entry => path.join(folder, entry))
    );
    const imported = new Set(files.flatMap(listImports));
    const replacement = createRequire(import.meta.url)("../bundle/undiciClients.cjs");
    assert.ok(imported.size > 0);
    assert.deepEqual([...imported].filter(name => replacement[name] === undefined), []);
});
