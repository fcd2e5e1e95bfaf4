import * as fs from "node:fs";
import * as path from "node:path";

const skippedFolders = new Set(["node_modules", "dist"]);
const namePattern = /[A-Za-z_$][\w$]*/g;

/** Lists all files below a path, except dependencies and build results. */
export function listFiles(root) {
    return fs.readdirSync(root, { withFileTypes: true })
        .filter(entry => !skippedFolders.has(entry.name))
        .map(entry => [entry, path.join(root, entry.name)])
        .flatMap(([entry, file]) => entry.isDirectory() ? listFiles(file) : [file]);
}

/** Finds the words with upper and lower case between a text's backticks that are no words of the sources. */
export function findUnknownNames(text, sources) {
    const known = new Set(sources.match(namePattern));
    return [...text.replace(/^ *```[^]*?^ *```/gm, "").matchAll(/`([^`\n]+)`/g)]
        .flatMap(([, quoted]) => quoted.match(namePattern) ?? [])
        .filter(name => /[a-z]/.test(name) && /[A-Z]/.test(name) && !known.has(name));
}
