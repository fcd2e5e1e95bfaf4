import assert from "node:assert/strict";
import * as fs from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { test } from "node:test";
import { findImportCycles } from "../findImportCycles.js";

/** Folders with more files are hard to survey. */
const maxFilesPerFolder = 15;
const sourceFolders = [...fs.readdirSync("packages").map(name => path.join("packages", name, "src")), "platform/src"];

function listSources() {
    return sourceFolders.flatMap(folder =>
        fs.readdirSync(folder, { recursive: true })
            .filter(entry => entry.endsWith(".ts"))
            .map(entry => path.join(folder, entry))
    );
}

function writeFiles(texts) {
    const folder = fs.mkdtempSync(path.join(tmpdir(), "daisyturn-layout-"));
    const files = Object.entries(texts).map(([name, text]) => {
        const file = path.join(folder, name);
        fs.writeFileSync(file, text);
        return file;
    });
    return { folder, files };
}

test("finds import cycles, also through type imports, exports and a third file", () => {
    const { folder, files } = writeFiles({
        "a.ts": `import type { B } from "./b.js";\n`,
        "b.ts": `import { one } from "./alone.js";\nexport * from "./c.js";\n`,
        "c.ts": `import {\n    a,\n    other,\n} from "./a.js";\n`,
        "alone.ts": `import { readFile } from "node:fs";\nexport const one = 1;\n`,
    });
    try {
        assert.deepEqual(findImportCycles(files), [files.slice(0, 3)]);
    }
    finally {
        fs.rmSync(folder, { recursive: true });
    }
});

test("the sources contain no import cycles", () => {
    assert.deepEqual(findImportCycles(listSources()), []);
});

test("no source folder has more than the maximum number of files", () => {
    const counts = new Map();
    for (const file of listSources()) {
        counts.set(path.dirname(file), (counts.get(path.dirname(file)) ?? 0) + 1);
    }
    assert.deepEqual([...counts].filter(([, count]) => count > maxFilesPerFolder), []);
});
