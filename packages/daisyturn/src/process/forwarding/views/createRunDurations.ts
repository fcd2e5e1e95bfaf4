/** How long the calls of each route took lately, from their arrival to the end of their answer. */
export interface RunDurations {
    /** @param time monotonic time at which the call ended */
    record(route: string, milliseconds: number, time: number): void;
    /** Milliseconds of the longest recent call; undefined if too few calls have ended to expect the same of the next. */
    longest(route: string, time: number): number | undefined;
}

/** Calls count for one to two of these. */
const windowMilliseconds = 60_000;
/** Of calls that are alike, the next one is the longest of n + 1 with a probability of 1 / (n + 1). */
const minCalls = 50;

interface Longest {
    calls: number;
    milliseconds: number;
}

/** Creates the durations of one process. */
export function createRunDurations(): RunDurations {
    let current = new Map<string, Longest>();
    let previous = new Map<string, Longest>();
    let windowEndsAt = -Infinity;

    const turn = (time: number) => {
        if (time < windowEndsAt) {
            return;
        }
        previous = time < windowEndsAt + windowMilliseconds ? current : new Map();
        current = new Map();
        windowEndsAt = time + windowMilliseconds;
    };

    return {
        record: (route, milliseconds, time) => {
            turn(time);
            const longest = current.get(route) ?? { calls: 0, milliseconds: 0 };
            longest.calls += 1;
            longest.milliseconds = Math.max(longest.milliseconds, milliseconds);
            current.set(route, longest);
        },
        longest: (route, time) => {
            turn(time);
            const found = [current.get(route), previous.get(route)].filter(longest => longest !== undefined);
            const calls = found.reduce((sum, longest) => sum + longest.calls, 0);
            return calls < minCalls ? undefined : Math.max(...found.map(longest => longest.milliseconds));
        },
    };
}
