/** The mean pause between the events of one answer: service, milliseconds. */
export type EventIntervalObservation = readonly [service: string, meanInterval: number];

/** Estimates the pause between the events of an answer at the engines of a service, while nothing delays them. */
export interface EventIntervals {
    /** Milliseconds between two events. */
    interval(service: string): number;
    /** Records the mean pause of one answer that had several events. */
    observe(service: string, meanInterval: number): void;
    /** Records the observation of a peer. */
    recordRemote(observation: EventIntervalObservation): void;
    /** Returns the process's own observations since the last call, to be sent to its peers. */
    drainUnsent(): readonly EventIntervalObservation[];
}

/** Observations retained for the peers. Consecutive answers have similar pauses, so that older ones can be dropped. */
const maxUnsent = 16;

/** Estimate before the first answer has ended: an event of nine tokens in a half-full batch of a large model. */
const initialInterval = 45;
/**
 * Weights of observations below the estimate and above it. A stream that was delayed by prefills does not show the
 * usual interval, while no stream is faster than its engine.
 */
const weightBelow = 0.2;
const weightAbove = 0.03;

/** Creates the estimates of one process. */
export function createEventIntervals(): EventIntervals {
    const intervals = new Map<string, number>();
    let unsent: EventIntervalObservation[] = [];
    const learn = (service: string, meanInterval: number) => {
        const known = intervals.get(service) ?? initialInterval;
        const weight = meanInterval < known ? weightBelow : weightAbove;
        intervals.set(service, known + (meanInterval - known) * weight);
    };
    return {
        interval: service => intervals.get(service) ?? initialInterval,
        observe: (service, meanInterval) => {
            learn(service, meanInterval);
            unsent = [...unsent, [service, meanInterval] as const].slice(-maxUnsent);
        },
        recordRemote: ([service, meanInterval]) => learn(service, meanInterval),
        drainUnsent: () => {
            const drained = unsent;
            unsent = [];
            return drained;
        },
    };
}
