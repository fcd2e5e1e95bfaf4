import assert from "node:assert/strict";
import * as fs from "node:fs";
import { tmpdir } from "node:os";
import * as path from "node:path";
import { test } from "node:test";
import { findImportCircles } from "../findImportCircles.js";

/** What a reader still takes in at a glance. */
const mostFilesInFolder = 15;
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

test("finds files that import each other, also by a type, an export and over a third one", () => {
    const { folder, files } = writeFiles({
        "a.ts": `import type { B } from "./b.js";\n`,
        "b.ts": `import { one } from "./alone.js";\nexport * from "./c.js";\n`,
        "c.ts": `import {\n    a,\n    other,\n} from "./a.js";\n`,
        "alone.ts": `import { readFile } from "node:fs";\nexport const one = 1;\n`,
    });
    try {
        assert.deepEqual(findImportCircles(files), [files.slice(0, 3)]);
    }
    finally {
        fs.rmSync(folder, { recursive: true });
    }
});

test("no files import each other in a circle", () => {
    assert.deepEqual(findImportCircles(listSources()), []);
});

test("no folder has more files side by side than a reader takes in", () => {
    const counts = new Map();
    for (const file of listSources()) {
        counts.set(path.dirname(file), (counts.get(path.dirname(file)) ?? 0) + 1);
    }
    assert.deepEqual([...counts].filter(([, count]) => count > mostFilesInFolder), []);
});
