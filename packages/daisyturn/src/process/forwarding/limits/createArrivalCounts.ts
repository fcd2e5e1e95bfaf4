/** The part of a call that a target is sent. */
export enum SendPart {
    /** The target only prefills the prompt. */
    Prefill = "prefill",
    /** The target continues from a KV cache that another one prefilled. */
    Decode = "decode",
    /** The target does everything. */
    Whole = "whole",
}

/** How a send ended that reached its target, or may have. */
export enum ArrivalResult {
    Answered = "answered",
    /** The target stated that it did not run the call. */
    Refused = "refused",
    /** The connection failed, or the send was aborted; the target may have run the call. */
    Broken = "broken",
}

/** One send that reached its target, or may have. */
export interface Arrival {
    readonly service: string;
    readonly part: SendPart;
    readonly result: ArrivalResult;
    /** Whether the fleet's retry budget counts it: not the first of its call, and not the first accepted prefill. */
    readonly isRepeat: boolean;
}

/** What one service got from this process since the last report. */
export interface ServiceArrivals {
    readonly service: string;
    /** Calls of callers. */
    readonly requests: number;
    readonly arrivals: number;
    /** Number of repeats by part and result, as `part:result`. */
    readonly repeats: ReadonlyMap<string, number>;
    readonly retriesAcquired: number;
    readonly retriesDenied: number;
}

/**
 * Counts requests, arrivals and retries by service, without sampling. Log lines of single calls are sampled and limited,
 * and a retry is not one arrival: it may send a prefill and a decode, or nothing at all.
 */
export interface ArrivalCounts {
    recordRequest(service: string): void;
    recordArrival(arrival: Arrival): void;
    recordRetry(service: string, isAcquired: boolean): void;
    /** Returns and resets the counts since the last call, by service. */
    drain(): readonly ServiceArrivals[];
}

interface Counts {
    requests: number;
    arrivals: number;
    readonly repeats: Map<string, number>;
    retriesAcquired: number;
    retriesDenied: number;
}

/** Creates the counts of one process. */
export function createArrivalCounts(): ArrivalCounts {
    let services = new Map<string, Counts>();

    const find = (service: string): Counts => {
        const known = services.get(service)
            ?? { requests: 0, arrivals: 0, repeats: new Map(), retriesAcquired: 0, retriesDenied: 0 };
        services.set(service, known);
        return known;
    };

    return {
        recordRequest: service => {
            find(service).requests += 1;
        },
        recordArrival: ({ service, part, result, isRepeat }) => {
            const counts = find(service);
            counts.arrivals += 1;
            if (isRepeat) {
                const key = `${part}:${result}`;
                counts.repeats.set(key, (counts.repeats.get(key) ?? 0) + 1);
            }
        },
        recordRetry: (service, isAcquired) => {
            const counts = find(service);
            counts.retriesAcquired += isAcquired ? 1 : 0;
            counts.retriesDenied += isAcquired ? 0 : 1;
        },
        drain: () => {
            const drained = services;
            services = new Map();
            return [...drained].map(([service, counts]) => ({ service, ...counts }));
        },
    };
}
