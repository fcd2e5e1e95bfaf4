/** A prompt that has ended: its route, its size, and whether it was served. */
export type EndedPrompt = readonly [route: string, size: number, isServed: boolean];

/** A prompt in progress. It counts for its route once it has ended. */
export interface TrackedPrompt {
    /** Whether prompts as long as this one were recently served so rarely that this one should not be refused. */
    isUnderserved(): boolean;
    /** Whether the longest prompts of its route were served too rarely. */
    areLongestUnderserved(): boolean;
    /** Records the end of the prompt. It counts as not served if it was refused, it failed or its caller left. */
    end(isServed: boolean): void;
}

/**
 * Compares how often the longest prompts of a route are served with how often all of its prompts are. Under a lasting
 * overload, refusals by forecast alone starve the longest prompts: the queue grows until arriving prompts are refused
 * and settles at a length at which only short prompts are still admitted.
 */
export interface SizeFairness {
    begin(route: string, size: number): TrackedPrompt;
    /** As {@link TrackedPrompt.isUnderserved}, for a prompt of another process. */
    isUnderserved(route: string, size: number): boolean;
    areLongestUnderserved(route: string): boolean;
    /** Records a prompt that ended at a peer. */
    recordRemote(ended: EndedPrompt): void;
    /** Returns this process's prompts that ended since the last call, to be sent to the peers. */
    drainUnsent(): readonly EndedPrompt[];
}

/** Number of recent prompts of a route that count; enough that several are among the longest tenth. */
const maxPrompts = 64;
/** With fewer prompts than this, it is not known how often any length is served. */
const minPrompts = 8;
/**
 * At least this fraction of the prompts is counted together as the longest; with fewer, a single prompt would decide.
 */
const longestFraction = 0.1;
/**
 * The longest prompts are underserved if they are served less often than all prompts by this factor. Half is guaranteed
 * to callers; the margin covers prompts that are admitted but then not served.
 */
const minServedRatio = 0.8;
/** Only prompts for which at most this fraction of the counted prompts is longer can be underserved. */
const maxLongerFraction = 0.3;

/** Beyond this many routes, the one that was added first is dropped. */
const maxRoutes = 64;
/** Ended prompts that are stored for the peers; older ones are dropped. */
const maxUnsent = 32;

interface Entry {
    readonly size: number;
    readonly isServed: boolean;
}

/** Creates the size fairness of one process. */
export function createSizeFairness(): SizeFairness {
    const routes = new Map<string, Entry[]>();
    let unsent: EndedPrompt[] = [];

    const find = (route: string): Entry[] => {
        let entries = routes.get(route);
        if (!entries) {
            entries = [];
            routes.set(route, entries);
            const oldest = routes.keys().next().value;
            if (routes.size > maxRoutes && oldest !== undefined) {
                routes.delete(oldest);
            }
        }
        return entries;
    };

    const add = (entries: Entry[], entry: Entry) => {
        entries.push(entry);
        if (entries.length > maxPrompts) {
            entries.shift();
        }
    };

    return {
        begin: (route, size) => ({
            isUnderserved: () => isUnderserved(size, find(route)),
            areLongestUnderserved: () => areLongestUnderserved(find(route)),
            end: isServed => {
                add(find(route), { size, isServed });
                unsent = [...unsent, [route, size, isServed] as const].slice(-maxUnsent);
            },
        }),
        isUnderserved: (route, size) => isUnderserved(size, routes.get(route) ?? []),
        areLongestUnderserved: route => areLongestUnderserved(routes.get(route) ?? []),
        recordRemote: ([route, size, isServed]) => add(find(route), { size, isServed }),
        drainUnsent: () => {
            const drained = unsent;
            unsent = [];
            return drained;
        },
    };
}

function isUnderserved(size: number, others: readonly Entry[]): boolean {
    const longer = others.filter(entry => entry.size > size).length;
    return longer <= others.length * maxLongerFraction
        && computeLongestServedFraction(size, others) < minServedRatio * computeServedFraction(others);
}

function areLongestUnderserved(others: readonly Entry[]): boolean {
    return computeLongestServedFraction(Infinity, others) < minServedRatio * computeServedFraction(others);
}

/**
 * The served fraction of prompts at least this long, or of the longest tenth if that is more; 1 if too few are known.
 */
function computeLongestServedFraction(size: number, others: readonly Entry[]): number {
    if (others.length < minPrompts) {
        return 1;
    }
    const largestFirst = [...others].sort((left, right) => right.size - left.size);
    const asLong = largestFirst.filter(entry => entry.size >= size).length;
    return computeServedFraction(largestFirst.slice(0, Math.max(asLong, Math.ceil(others.length * longestFraction))));
}

function computeServedFraction(entries: readonly Entry[]): number {
    return entries.filter(({ isServed }) => isServed).length / entries.length;
}
