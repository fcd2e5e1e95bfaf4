/** A prompt that is under way, in the account of its route. */
export interface AccountedPrompt {
    /** Whether prompts as long as this one were served so seldom of late that it should not be refused as well. */
    isOwed(): boolean;
    /** The prompt was refused, or failed, or its caller left. */
    noteUnserved(): void;
}

/**
 * Keeps account of how often the longest prompts are served, against all of their route. A refusal by forecast alone starves
 * them under a lasting overload: the queue grows until what comes is refused, and settles where short prompts just fit.
 */
export interface SizeFairness {
    /** Takes a prompt in, as one that will be served until it is said to be not. */
    begin(route: string, tokens: number): AccountedPrompt;
}

/** The last prompts of a route that count: enough that several are among the longest tenth. */
const rememberedPrompts = 64;
/** Fewer prompts than this do not tell how often any length is served. */
const fewestPrompts = 8;
/** Of the longest prompts, this part counts together: with fewer, a single one would decide. */
const longestFraction = 0.1;
/** The longest prompts are owed at least this part of the service of all: half is promised, and some is lost on the way. */
const leastFraction = 0.6;

interface Entry {
    readonly tokens: number;
    isServed: boolean;
}

/** Creates the account of one process. */
export function createSizeFairness(): SizeFairness {
    const routes = new Map<string, Entry[]>();
    return {
        begin: (route, tokens) => {
            const entries = routes.get(route) ?? [];
            routes.set(route, entries);
            const own: Entry = { tokens, isServed: true };
            entries.push(own);
            if (entries.length > rememberedPrompts) {
                entries.shift();
            }
            return {
                isOwed: () => isOwed(own, entries.filter(entry => entry !== own)),
                noteUnserved: () => {
                    own.isServed = false;
                },
            };
        },
    };
}

function isOwed({ tokens }: Entry, others: readonly Entry[]): boolean {
    if (others.length < fewestPrompts) {
        return false;
    }
    const longestFirst = [...others].sort((left, right) => right.tokens - left.tokens);
    const asLong = longestFirst.filter(entry => entry.tokens >= tokens).length;
    const longest = longestFirst.slice(0, Math.max(asLong, Math.ceil(others.length * longestFraction)));
    return findShareServed(longest) < leastFraction * findShareServed(others);
}

function findShareServed(entries: readonly Entry[]): number {
    return entries.filter(({ isServed }) => isServed).length / entries.length;
}
