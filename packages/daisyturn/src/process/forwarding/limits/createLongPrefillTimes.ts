/** Tracks the prefill times of the long prompts of each route, from recent prompts, whether admitted or not. */
export interface LongPrefillTimes {
    /** @param milliseconds prefill time of a prompt on an engine without other load */
    record(route: string, milliseconds: number): void;
    /** Milliseconds within which the prefill of nearly all prompts of the route ends; 0 if none is known. */
    find(route: string): number;
}

const maxPrompts = 128;
/** The longest remaining prompts are too few to justify keeping the queue short for them. */
const coveredFraction = 0.95;
/** Beyond this many routes, the one that was recorded first is dropped. */
const maxRoutes = 64;

/** Creates the prefill times of one process. */
export function createLongPrefillTimes(): LongPrefillTimes {
    const routes = new Map<string, number[]>();
    return {
        record: (route, milliseconds) => {
            const times = routes.get(route) ?? [];
            routes.set(route, [...times, milliseconds].slice(-maxPrompts));
            const oldest = routes.keys().next().value;
            if (routes.size > maxRoutes && oldest !== undefined) {
                routes.delete(oldest);
            }
        },
        find: route => {
            const sorted = [...routes.get(route) ?? []].sort((left, right) => left - right);
            return sorted[Math.floor((sorted.length - 1) * coveredFraction)] ?? 0;
        },
    };
}
