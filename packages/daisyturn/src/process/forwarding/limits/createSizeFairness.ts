/** A prompt that has ended: its route, its size, and whether it was served. */
export type EndedPrompt = readonly [route: string, size: number, isServed: boolean];

/** A prompt that is under way. It counts in the account of its route once it has ended. */
export interface TrackedPrompt {
    /** Whether prompts as long as this one were served so seldom of late that it should not be refused as well. */
    isUnderserved(): boolean;
    /** Whether the longest prompts of its route were served too seldom. */
    areLongestUnderserved(): boolean;
    /** The prompt has ended; it was not served if it was refused or failed, or its caller left. */
    end(isServed: boolean): void;
}

/**
 * Keeps account of how often the longest prompts are served, against all of their route. A refusal by forecast alone starves
 * them under a lasting overload: the queue grows until what comes is refused, and settles where short prompts just fit.
 */
export interface SizeFairness {
    begin(route: string, size: number): TrackedPrompt;
    /** The same for a prompt of another process. */
    isUnderserved(route: string, size: number): boolean;
    areLongestUnderserved(route: string): boolean;
    /** Takes in prompts that ended at a peer. */
    recordRemote(ended: EndedPrompt): void;
    /** Own prompts that ended since the last call, for the peers. */
    drainUnsent(): readonly EndedPrompt[];
}

/** The last prompts of a route that count: enough that several are among the longest tenth. */
const rememberedPrompts = 64;
/** Fewer prompts than this do not tell how often any length is served. */
const fewestPrompts = 8;
/** Of the longest prompts, this part counts together: with fewer, a single one would decide. */
const longestFraction = 0.1;
/** The longest prompts are owed at least this part of the service of all: half is promised, and some is lost on the way. */
const leastFraction = 0.8;
/** Only prompts among the longest are owed anything, as a part of those that are counted. */
const owedFraction = 0.3;

/** Routes with an account; beyond, the one that was opened first is dropped. */
const mostRoutes = 64;
/** Ended prompts kept for the peers. */
const mostUntold = 32;

interface Entry {
    readonly size: number;
    readonly isServed: boolean;
}

/** Creates the account of one process. */
export function createSizeFairness(): SizeFairness {
    const routes = new Map<string, Entry[]>();
    let untold: EndedPrompt[] = [];

    const find = (route: string): Entry[] => {
        let entries = routes.get(route);
        if (!entries) {
            entries = [];
            routes.set(route, entries);
            const oldest = routes.keys().next().value;
            if (routes.size > mostRoutes && oldest !== undefined) {
                routes.delete(oldest);
            }
        }
        return entries;
    };

    const add = (entries: Entry[], entry: Entry) => {
        entries.push(entry);
        if (entries.length > rememberedPrompts) {
            entries.shift();
        }
    };

    return {
        begin: (route, size) => ({
            isUnderserved: () => isUnderserved(size, find(route)),
            areLongestUnderserved: () => areLongestUnderserved(find(route)),
            end: isServed => {
                add(find(route), { size, isServed });
                untold = [...untold, [route, size, isServed] as const].slice(-mostUntold);
            },
        }),
        isUnderserved: (route, size) => isUnderserved(size, routes.get(route) ?? []),
        areLongestUnderserved: route => areLongestUnderserved(routes.get(route) ?? []),
        recordRemote: ([route, size, isServed]) => add(find(route), { size, isServed }),
        drainUnsent: () => {
            const told = untold;
            untold = [];
            return told;
        },
    };
}

function isUnderserved(size: number, others: readonly Entry[]): boolean {
    const longer = others.filter(entry => entry.size > size).length;
    return longer <= others.length * owedFraction
        && findLongestShare(size, others) < leastFraction * findShareServed(others);
}

function areLongestUnderserved(others: readonly Entry[]): boolean {
    return findLongestShare(Infinity, others) < leastFraction * findShareServed(others);
}

/** How often prompts as long as this one, or the longest tenth if that is more, were served; all, if too little is known. */
function findLongestShare(size: number, others: readonly Entry[]): number {
    if (others.length < fewestPrompts) {
        return 1;
    }
    const largestFirst = [...others].sort((left, right) => right.size - left.size);
    const asLong = largestFirst.filter(entry => entry.size >= size).length;
    return findShareServed(largestFirst.slice(0, Math.max(asLong, Math.ceil(others.length * longestFraction))));
}

function findShareServed(entries: readonly Entry[]): number {
    return entries.filter(({ isServed }) => isServed).length / entries.length;
}
