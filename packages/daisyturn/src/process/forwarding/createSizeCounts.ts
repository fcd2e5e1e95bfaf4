/** How many prompts of one route and of about one size ended, and how many of them were answered with success. */
export interface SizeCount {
    readonly route: string;
    /** The least size of the class, as `measureSize` tells it. */
    readonly leastSize: number;
    readonly ended: number;
    readonly served: number;
}

/**
 * Counts prompts by size, whole and without sampling. Whether the largest are refused more often than the others shows in
 * no mean, and single lines are sampled and bounded.
 */
export interface SizeCounts {
    record(route: string, size: number, isServed: boolean): void;
    /** What was counted since the last call, by route and size. */
    drain(): readonly SizeCount[];
}

/** Classes of size a doubling: fine enough to tell the largest tenth from the fifth below it. */
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
            const taken = routes;
            routes = new Map();
            return [...taken].flatMap(([route, classes]) =>
                [...classes]
                    .sort(([left], [right]) => left - right)
                    .map(([sizeClass, count]) => ({ route, leastSize: leastSizeOf(sizeClass), ...count }))
            );
        },
    };
}

function leastSizeOf(sizeClass: number): number {
    return Math.ceil(2 ** (sizeClass / classesPerDoubling));
}
