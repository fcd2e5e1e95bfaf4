// Reads the list of tests that are known to fail for a fault that is still open.
import * as fs from "node:fs";
import * as path from "node:path";

/** Lies at the root; absent while nothing is red. Entries are parted by empty lines, and each names its file of tests first. */
const listName = "KNOWN-RED.txt";
const testField = /^test: (\S+)$/m;

/**
 * The entries of the list, each with its source file.
 * @throws where an entry names no file, or one that does not exist: what is passed over must be told exactly
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
