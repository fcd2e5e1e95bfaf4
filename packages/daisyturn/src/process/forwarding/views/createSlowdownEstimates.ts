/** How long a target took: the estimated milliseconds of waiting and of work, and the actual ones of both. */
export type DurationObservation = readonly [targetId: string, waited: number, estimated: number, actual: number];

/** How much slower than estimated each target really is. */
export interface SlowdownEstimates {
    /** Factor by which estimates for a target are to be multiplied. */
    factor(targetId: string): number;
    /** @param waited estimated milliseconds before the target turned to the call */
    observe(targetId: string, waited: number, estimated: number, actual: number): void;
    /** Takes in what a peer has observed. */
    recordRemote(observation: DurationObservation): void;
    /** Own observations since the last call, for the peers. */
    drainUnsent(): readonly DurationObservation[];
    forget(targetId: string): void;
}

/** Weight of one observation. */
const weight = 0.15;
const smallestFactor = 0.3;
const largestFactor = 8;
/** Calls that mostly waited tell of the queue and not of the target's speed. */
const leastOwnFraction = 0.5;
/** Observations kept for the peers; older ones say less. */
const mostUntold = 16;

/** Creates the view of one process. */
export function createSlowdownEstimates(): SlowdownEstimates {
    const factors = new Map<string, number>();
    let untold: DurationObservation[] = [];
    const tellsOfPace = (waited: number, estimated: number) => estimated >= (waited + estimated) * leastOwnFraction;

    const learn = ([targetId, waited, estimated, actual]: DurationObservation) => {
        if (tellsOfPace(waited, estimated)) {
            const ratio = Math.min(largestFactor, Math.max(smallestFactor, actual / (waited + estimated)));
            const known = factors.get(targetId) ?? 1;
            factors.set(targetId, known + (ratio - known) * weight);
        }
    };

    return {
        factor: targetId => factors.get(targetId) ?? 1,
        observe: (targetId, waited, estimated, actual) => {
            learn([targetId, waited, estimated, actual]);
            if (tellsOfPace(waited, estimated)) {
                const rounded = [waited, estimated, actual].map(Math.round) as [number, number, number];
                untold = [...untold, [targetId, ...rounded] as const].slice(-mostUntold);
            }
        },
        recordRemote: learn,
        drainUnsent: () => {
            const told = untold;
            untold = [];
            return told;
        },
        forget: targetId => factors.delete(targetId),
    };
}
