/** A name is not treated as misspelt if more than this fraction of its letters differ. */
const maxDifferenceFraction = 0.5;

/** Returns the known name closest to a misspelt one; undefined if none is similar enough. */
export function findNearestName(name: string, known: readonly string[]): string | undefined {
    const ranked = known
        .map(candidate => ({ candidate, distance: countEdits(name.toLowerCase(), candidate.toLowerCase()) }))
        .sort((left, right) => left.distance - right.distance);
    const [nearest] = ranked;
    const limit = Math.max(name.length, nearest?.candidate.length ?? 0) * maxDifferenceFraction;
    return nearest && nearest.distance <= limit ? nearest.candidate : undefined;
}

/** Levenshtein distance: the number of letters to insert, delete or replace to turn one text into the other. */
function countEdits(from: string, to: string): number {
    let previous = Array.from({ length: to.length + 1 }, (...[, index]) => index);
    for (const [row, letter] of [...from].entries()) {
        const current = [row + 1];
        for (const [column, other] of [...to].entries()) {
            const replaced = (previous[column] ?? 0) + (letter === other ? 0 : 1);
            const deleted = (previous[column + 1] ?? 0) + 1;
            const inserted = (current[column] ?? 0) + 1;
            current.push(Math.min(replaced, deleted, inserted));
        }
        previous = current;
    }
    return previous[to.length] ?? 0;
}
