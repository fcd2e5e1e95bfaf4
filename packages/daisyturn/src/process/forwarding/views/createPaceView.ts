/** How much slower than estimated each target really is. */
export interface PaceView {
    /** Factor by which estimates for a target are to be multiplied. */
    factor(targetId: string): number;
    /** @param waited estimated milliseconds before the target turned to the call */
    observe(targetId: string, waited: number, estimated: number, actual: number): void;
    forget(targetId: string): void;
}

/** Weight of one observation. */
const weight = 0.15;
const smallestFactor = 0.3;
const largestFactor = 8;
/** Calls that mostly waited tell of the queue and not of the target's speed. */
const leastOwnFraction = 0.5;

/** Creates the view of one process. */
export function createPaceView(): PaceView {
    const factors = new Map<string, number>();
    return {
        factor: targetId => factors.get(targetId) ?? 1,
        observe: (targetId, waited, estimated, actual) => {
            if (estimated < (waited + estimated) * leastOwnFraction) {
                return;
            }
            const ratio = Math.min(largestFactor, Math.max(smallestFactor, actual / (waited + estimated)));
            const known = factors.get(targetId) ?? 1;
            factors.set(targetId, known + (ratio - known) * weight);
        },
        forget: targetId => factors.delete(targetId),
    };
}
