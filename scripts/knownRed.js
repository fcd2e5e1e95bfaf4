// Reads the list of tests that are known to fail because of a fault that is not fixed yet.
import * as fs from "node:fs";
import * as path from "node:path";

/**
 * File in the root folder; it may be absent if no test is known to fail. Entries are separated by empty lines, and each
 * contains a line with its test file.
 */
const listName = "KNOWN-RED.txt";
const testField = /^test: (\S+)$/m;

/**
 * Reads the entries of the list, each with the source file of its test.
 * @throws Error if an entry names no file, or one that does not exist: the skipped tests must be listed exactly
 */
export function readKnownRed(root) {
    const list = path.join(root, listName);
    if (!fs.existsSync(list)) {
        return [];
    }
    const entries = fs.readFileSync(list, "utf8").split(/\n\s*\n/).map(text => text.trim()).filter(text => text !== "");
    return entries.map(text => {
        const file = testField.exec(text)?.[1];
        if (file === undefined || !fs.existsSync(path.join(root, file))) {
            throw new Error(`${listName}: an entry needs a line "test: FILE" with a file that exists, unlike: ${text}`);
        }
        return { file, text };
    });
}
