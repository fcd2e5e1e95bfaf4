/** Number of prompts of one route and one size class that ended, and how many of them were answered successfully. */
export interface SizeCount {
    readonly route: string;
    /** Smallest size of the class, as returned by `measureSize`. */
    readonly leastSize: number;
    readonly ended: number;
    readonly served: number;
}

/**
 * Counts all prompts by size, without sampling. A mean does not show whether the largest prompts are refused more often
 * than the others, and the log lines of single calls are sampled and limited.
 */
export interface SizeCounts {
    record(route: string, size: number, isServed: boolean): void;
    /** Returns and resets the counts since the last call, by route and size. */
    drain(): readonly SizeCount[];
}

/** Size classes per doubling of the size; fine enough to separate the largest tenth from the fifth below it. */
const classesPerDoubling = 4;

interface Count {
    ended: number;
    served: number;
}

/** Creates the counts of one process. */
export function createSizeCounts(): SizeCounts {
    let routes = new Map<string, Map<number, Count>>();
    return {
        record: (route, size, isServed) => {
            const classes = routes.get(route) ?? new Map<number, Count>();
            routes.set(route, classes);
            const sizeClass = Math.floor(Math.log2(Math.max(1, size)) * classesPerDoubling);
            const { ended, served } = classes.get(sizeClass) ?? { ended: 0, served: 0 };
            classes.set(sizeClass, { ended: ended + 1, served: served + (isServed ? 1 : 0) });
        },
        drain: () => {
            const drained = routes;
            routes = new Map();
            return [...drained].flatMap(([route, classes]) =>
                [...classes]
                    .sort(([left], [right]) => left - right)
                    .map(([sizeClass, count]) => ({ route, leastSize: findLeastSize(sizeClass), ...count }))
            );
        },
    };
}

function findLeastSize(sizeClass: number): number {
    return Math.ceil(2 ** (sizeClass / classesPerDoubling));
}
