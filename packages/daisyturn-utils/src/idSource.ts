/** Generates identifiers that are never reused, from the process's incarnation and a counter. */
export interface IdSource {
    /** @param kind a short lower-case prefix such as `req`, `ord` or `wr`, which makes logs easier to read */
    next(kind: string): string;
}

/**
 * Creates the identifier source of one incarnation of a process.
 * @param incarnation unique across all processes and their restarts
 */
export function createIdSource(incarnation: string): IdSource {
    let counter = 0;
    return {
        next: kind => {
            counter += 1;
            return `${kind}-${incarnation}-${counter.toString(36)}`;
        },
    };
}
