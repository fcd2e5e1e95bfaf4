/**
 * How long a target took: target, estimated milliseconds of waiting, of work, and actual milliseconds of both together.
 */
export type DurationObservation = readonly [targetId: string, waited: number, estimated: number, actual: number];

/** Estimates how much slower each target is than the prefill estimates say. */
export interface SlowdownEstimates {
    /** Factor on the estimates for a target. */
    factor(targetId: string): number;
    /** @param waited estimated milliseconds before the target began to work on the call */
    observe(targetId: string, waited: number, estimated: number, actual: number): void;
    /** Records the observation of a peer. */
    recordRemote(observation: DurationObservation): void;
    /** Returns the process's own observations since the last call, to be sent to its peers. */
    drainUnsent(): readonly DurationObservation[];
    forget(targetId: string): void;
}

/** Weight of one observation. */
const weight = 0.15;
const minFactor = 0.3;
const maxFactor = 8;
/** The duration of calls that mostly waited depends on the queue and not on the target's speed. */
const minWorkFraction = 0.5;
/** Observations retained for the peers; the oldest are dropped, since they matter least. */
const maxUnsent = 16;

/** Creates the estimates of one process. */
export function createSlowdownEstimates(): SlowdownEstimates {
    const factors = new Map<string, number>();
    let unsent: DurationObservation[] = [];
    const isMostlyWork = (waited: number, estimated: number) => estimated >= (waited + estimated) * minWorkFraction;

    const learn = ([targetId, waited, estimated, actual]: DurationObservation) => {
        if (isMostlyWork(waited, estimated)) {
            const ratio = Math.min(maxFactor, Math.max(minFactor, actual / (waited + estimated)));
            const known = factors.get(targetId) ?? 1;
            factors.set(targetId, known + (ratio - known) * weight);
        }
    };

    return {
        factor: targetId => factors.get(targetId) ?? 1,
        observe: (targetId, waited, estimated, actual) => {
            learn([targetId, waited, estimated, actual]);
            if (isMostlyWork(waited, estimated)) {
                const rounded = [waited, estimated, actual].map(Math.round) as [number, number, number];
                unsent = [...unsent, [targetId, ...rounded] as const].slice(-maxUnsent);
            }
        },
        recordRemote: learn,
        drainUnsent: () => {
            const drained = unsent;
            unsent = [];
            return drained;
        },
        forget: targetId => factors.delete(targetId),
    };
}
