import * as fs from "node:fs";
import * as path from "node:path";

const importPattern = /^(?:import|export)\b[^;]*?from "(\.[^"]+)";/gms;

/** Lists the files that a source file imports by a relative path. */
function listImports(file) {
    const text = fs.readFileSync(file, "utf8");
    return [...text.matchAll(importPattern)]
        .map(([, target]) => path.join(path.dirname(file), target.replace(/\.js$/, ".ts")))
        .filter(target => fs.existsSync(target));
}

/**
 * Finds groups of files that import each other in a cycle, by Tarjan's algorithm for strongly connected components.
 * @param {readonly string[]} files
 * @returns {string[][]} each group sorted; empty if there is no cycle
 */
export function findImportCycles(files) {
    const visitByFile = new Map();
    const stack = [];
    const cycles = [];

    const visit = file => {
        const current = { index: visitByFile.size, lowLink: visitByFile.size, isOnStack: true };
        visitByFile.set(file, current);
        stack.push(file);
        for (const target of listImports(file)) {
            const visited = visitByFile.get(target);
            if (!visited) {
                current.lowLink = Math.min(current.lowLink, visit(target).lowLink);
            }
            else if (visited.isOnStack) {
                current.lowLink = Math.min(current.lowLink, visited.index);
            }
        }
        if (current.lowLink === current.index) {
            const group = stack.splice(stack.indexOf(file));
            group.forEach(member => visitByFile.get(member).isOnStack = false);
            if (group.length > 1) {
                cycles.push(group.sort());
            }
        }
        return current;
    };

    files.filter(file => !visitByFile.has(file)).forEach(visit);
    return cycles;
}
