import assert from "node:assert/strict";
import * as fs from "node:fs";
import { test } from "node:test";
import { findUnknownNames, listFiles } from "../findUnknownNames.js";

/** Pages that describe earlier states of the code. */
const historicalPages = /^docs\/(?:incidents\/|decisions\.md|MEASUREMENTS\.md)/;
/** Stands for any name in "`createX(options)`". */
const placeholder = "createX";

test("finds backticked names in camelCase and PascalCase that the sources lack", () => {
    const page = "`createLease(options)`, `LeaseKeeper.hasEnded`, `a/oldName.ts`, `Gone`, `lease`, noName\n"
        + "```\n`inBlock`\n```\n`HTTP`\n";
    assert.deepEqual(findUnknownNames(page, "createLease hasEnded"), ["LeaseKeeper", "oldName", "Gone"]);
});

test("the sources contain every name that the docs quote", () => {
    const sources = ["packages", "platform", "scripts", "deploy"].flatMap(listFiles)
        .filter(file => !file.endsWith(".md") && !file.endsWith("docsNames.test.js"))
        .map(file => `${file}\n${fs.readFileSync(file, "utf8")}`)
        .join("\n");
    const pages = ["README.md", "CONTRIBUTING.md", ...listFiles("docs")]
        .filter(page => page.endsWith(".md") && !historicalPages.test(page));
    const text = pages.map(page => fs.readFileSync(page, "utf8")).join("\n");
    assert.deepEqual(findUnknownNames(text, `${sources}\n${placeholder}`), []);
});
