import * as fs from "node:fs";
import * as path from "node:path";

const importPattern = /^(?:import|export)\b[^;]*?from "(\.[^"]+)";/gms;

/** Files that a source file imports by a relative path. */
function listImports(file) {
    const text = fs.readFileSync(file, "utf8");
    return [...text.matchAll(importPattern)]
        .map(([, target]) => path.join(path.dirname(file), target.replace(/\.js$/, ".ts")))
        .filter(target => fs.existsSync(target));
}

/**
 * Finds groups of files that import each other in a circle, by Tarjan's algorithm for strongly connected components.
 * @param {readonly string[]} files
 * @returns {string[][]} each group sorted; none if there is no circle
 */
export function findImportCircles(files) {
    const visits = new Map();
    const stack = [];
    const circles = [];

    const visit = file => {
        const own = { index: visits.size, lowest: visits.size, isOpen: true };
        visits.set(file, own);
        stack.push(file);
        for (const target of listImports(file)) {
            const known = visits.get(target);
            if (!known) {
                own.lowest = Math.min(own.lowest, visit(target).lowest);
            }
            else if (known.isOpen) {
                own.lowest = Math.min(own.lowest, known.index);
            }
        }
        if (own.lowest === own.index) {
            const group = stack.splice(stack.indexOf(file));
            group.forEach(member => visits.get(member).isOpen = false);
            if (group.length > 1) {
                circles.push(group.sort());
            }
        }
        return own;
    };

    files.filter(file => !visits.has(file)).forEach(visit);
    return circles;
}
