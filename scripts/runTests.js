// Runs every compiled test with node's test runner. Node 20's --test takes no glob, so the files are listed here.
// Usage: node scripts/runTests.js [word ...]: only files whose path contains one of the words.
import { spawnSync } from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";

const concurrentFiles = 6;
const testLimitMilliseconds = 300_000;
const words = process.argv.slice(2);

function listTestFiles(folder) {
    const entries = fs.readdirSync(folder, { recursive: true });
    return entries.filter(entry => entry.endsWith(".test.js")).map(entry => path.join(folder, entry));
}

/** A compiled test whose source is gone is left over from an earlier build and must not run. */
function hasSource(file) {
    return fs.existsSync(
        file.replace(`${path.sep}dist${path.sep}`, `${path.sep}src${path.sep}`).replace(/\.js$/, ".ts"),
    );
}

function findTestFiles() {
    return [...fs.readdirSync("packages").map(name => path.join("packages", name)), "platform"]
        .map(folder => path.join(folder, "dist"))
        .filter(folder => fs.existsSync(folder))
        .flatMap(listTestFiles)
        .filter(hasSource)
        .filter(file => words.length === 0 || words.some(word => file.includes(word)))
        .sort();
}

function runFiles(files, concurrency) {
    if (files.length === 0) {
        return 0;
    }
    // A test that hangs fails, in place of holding up all others.
    const flags = ["--test", `--test-concurrency=${concurrency}`, `--test-timeout=${testLimitMilliseconds}`];
    return spawnSync(process.execPath, [...flags, ...files], { stdio: "inherit" }).status ?? 1;
}

// Tests of whole fleets of processes measure no time but have deadlines of their own, so nothing else runs beside them.
const isEndToEnd = file => file.includes(`${path.sep}endToEnd${path.sep}`);
const files = findTestFiles();
const statuses = [
    runFiles(files.filter(file => !isEndToEnd(file)), concurrentFiles),
    runFiles(files.filter(isEndToEnd), 1),
];
process.exit(Math.max(...statuses));
