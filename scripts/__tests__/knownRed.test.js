import assert from "node:assert/strict";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { test } from "node:test";
import { readKnownRed } from "../knownRed.js";

function createRoot(files) {
    const root = fs.mkdtempSync(path.join(os.tmpdir(), "known-red-"));
    Object.entries(files).forEach(([name, text]) => fs.writeFileSync(path.join(root, name), text));
    return root;
}

test("returns no entries without a list", () => {
    assert.deepEqual(readKnownRed(createRoot({})), []);
});

test("reads entries that each name one test file", () => {
    const root = createRoot({
        "a.test.ts": "",
        "b.test.ts": "",
        "KNOWN-RED.txt": "test: a.test.ts\nseen: late\n\ntest: b.test.ts\nseen: lost\n",
    });
    assert.deepEqual(readKnownRed(root), [
        { file: "a.test.ts", text: "test: a.test.ts\nseen: late" },
        { file: "b.test.ts", text: "test: b.test.ts\nseen: lost" },
    ]);
});

test("rejects an entry without a file, or with a file that does not exist", () => {
    assert.throws(() => readKnownRed(createRoot({ "KNOWN-RED.txt": "seen: late\n" })), /KNOWN-RED/);
    assert.throws(() => readKnownRed(createRoot({ "KNOWN-RED.txt": "test: gone.test.ts\n" })), /gone/);
});
