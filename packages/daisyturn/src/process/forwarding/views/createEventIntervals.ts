/** The mean pause of one answer that had several events: service, milliseconds. */
export type EventIntervalObservation = readonly [service: string, meanInterval: number];

/** How far apart the events of answers come at the engines of a service, while nothing else holds them up. */
export interface EventIntervals {
    /** Usual milliseconds between two events. */
    interval(service: string): number;
    /** Takes in the mean of one answer that had several events. */
    observe(service: string, meanInterval: number): void;
    /** Takes in what a peer has observed. */
    recordRemote(observation: EventIntervalObservation): void;
    /** Own observations since the last call, for the peers. */
    drainUnsent(): readonly EventIntervalObservation[];
}

/** Observations kept for the peers; an answer's pause says about as much as that of the one before it. */
const mostUntold = 16;

/** Before the first answer has ended: an event of nine tokens in a half-full batch of a large model. */
const startingInterval = 45;
/**
 * Weights of a mean that is below what is known, and of one above it. A stream that was held up by reading says nothing
 * of the usual pace, while none comes faster than the engine makes it.
 */
const weightBelow = 0.2;
const weightAbove = 0.03;

/** Creates the view of one process. */
export function createEventIntervals(): EventIntervals {
    const intervals = new Map<string, number>();
    let untold: EventIntervalObservation[] = [];
    const learn = (service: string, meanInterval: number) => {
        const known = intervals.get(service) ?? startingInterval;
        const weight = meanInterval < known ? weightBelow : weightAbove;
        intervals.set(service, known + (meanInterval - known) * weight);
    };
    return {
        interval: service => intervals.get(service) ?? startingInterval,
        observe: (service, meanInterval) => {
            learn(service, meanInterval);
            untold = [...untold, [service, meanInterval] as const].slice(-mostUntold);
        },
        recordRemote: ([service, meanInterval]) => learn(service, meanInterval),
        drainUnsent: () => {
            const told = untold;
            untold = [];
            return told;
        },
    };
}
