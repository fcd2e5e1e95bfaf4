// Runs all compiled tests with node's test runner. `node --test` of Node 20 does not support globs, so the files are
// listed here.
// Usage: node scripts/runTests.js [word ...]; with words, only files whose path contains one of them.
import * as fs from "node:fs";
import * as path from "node:path";
import { readKnownRed } from "./knownRed.js";
import { runInGroup } from "./runInGroup.js";

const concurrentFiles = 6;
const testLimitMilliseconds = 300_000;
/** All files of one kind take two to four minutes together; after this time, a test file is presumed to hang. */
const runLimitMilliseconds = 1_200_000;
const words = process.argv.slice(2);

function listTestFiles(folder) {
    const entries = fs.readdirSync(folder, { recursive: true });
    return entries.filter(entry => entry.endsWith(".test.js")).map(entry => path.join(folder, entry));
}

function findSource(file) {
    return file.includes(`${path.sep}dist${path.sep}`)
        ? file.replace(`${path.sep}dist${path.sep}`, `${path.sep}src${path.sep}`).replace(/\.js$/, ".ts")
        : file;
}

/** A compiled test without a source file is left over from an earlier build and must not run. */
function hasSource(file) {
    return fs.existsSync(findSource(file));
}

function findTestFiles() {
    return [...fs.readdirSync("packages").map(name => path.join("packages", name)), "platform"]
        .map(folder => path.join(folder, "dist"))
        .filter(folder => fs.existsSync(folder))
        .flatMap(listTestFiles)
        .filter(hasSource)
        .concat(listTestFiles("scripts"))
        .filter(file => words.length === 0 || words.some(word => file.includes(word)))
        .sort();
}

async function runFiles(files, concurrency) {
    if (files.length === 0) {
        return 0;
    }
    // A test that hangs fails instead of blocking all others.
    const flags = ["--test", `--test-concurrency=${concurrency}`, `--test-timeout=${testLimitMilliseconds}`];
    return await runInGroup([...flags, ...files], runLimitMilliseconds);
}

// End-to-end tests start whole fleets of processes and have deadlines, so no other test runs at the same time.
const isEndToEnd = file => file.includes(`${path.sep}endToEnd${path.sep}`);
const red = readKnownRed(".");
red.forEach(({ text }) => console.log(`Skipped, known to fail:\n${text}\n`));
const redFiles = new Set(red.map(({ file }) => file));
const files = findTestFiles().filter(file => words.length > 0 || !redFiles.has(findSource(file)));
const status = await runFiles(files.filter(file => !isEndToEnd(file)), concurrentFiles);
const endToEndStatus = await runFiles(files.filter(isEndToEnd), 1);
process.exit(Math.max(status, endToEndStatus));
