/** How long the long prompts of each route take to read, from recent prompts, whether they were admitted or not. */
export interface LongPrefillTimes {
    /** @param milliseconds time to read a prompt at an engine that nothing slows */
    record(route: string, milliseconds: number): void;
    /** Milliseconds within which nearly all prompts of the route are read; 0 if none is known. */
    find(route: string): number;
}

const rememberedPrompts = 128;
/** The rest are too few to keep the queue short for them. */
const coveredFraction = 0.95;
/** Routes with readings; beyond, the one that was noted first is dropped. */
const mostRoutes = 64;

/** Creates the readings that one process knows of. */
export function createLongPrefillTimes(): LongPrefillTimes {
    const routes = new Map<string, number[]>();
    return {
        record: (route, milliseconds) => {
            const readings = routes.get(route) ?? [];
            routes.set(route, [...readings, milliseconds].slice(-rememberedPrompts));
            const oldest = routes.keys().next().value;
            if (routes.size > mostRoutes && oldest !== undefined) {
                routes.delete(oldest);
            }
        },
        find: route => {
            const sorted = [...routes.get(route) ?? []].sort((left, right) => left - right);
            return sorted[Math.floor((sorted.length - 1) * coveredFraction)] ?? 0;
        },
    };
}
