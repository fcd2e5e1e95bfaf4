import type { Clock } from "daisyturn-utils";

/** Which targets may continue a stream that has begun. */
export interface StreamOrigin {
    /** Identifies the stream, the same for all calls that resume it. */
    readonly streamId: string;
    readonly service: string;
    /** Software version of the target that made the first event. */
    readonly softwareVersion: string;
    /** Account that began the stream; only where the identifier is the same for the callers of all accounts. */
    readonly account?: string;
    /** Monotonic time until which the caller may resume the stream. */
    readonly deadline: number;
}

/** The origins that one process knows: of its own streams, and as a replica of other processes. */
export interface StreamOrigins {
    /** Records the origin of a stream of this process, before its first event is sent to the caller. */
    record(origin: StreamOrigin): void;
    recordRemote(origin: StreamOrigin): void;
    find(streamId: string): StreamOrigin | undefined;
    list(): readonly StreamOrigin[];
    /** The longest time, in milliseconds, for which the caller of a stream may still resume it after its first event. */
    longestLifetime(): number;
    /** Registers a listener for the origins of this process's own streams. */
    onRecorded(listener: (origin: StreamOrigin) => void): void;
}

/** Limits of the time for which an origin is kept, whatever its caller's deadline. */
const minOriginLifetimeMilliseconds = 10_000;
export const maxOriginLifetimeMilliseconds = 600_000;
/** Bounds the memory to a few megabytes. Beyond it the oldest origin is removed. */
const maxOrigins = 8_192;
const sweepIntervalMilliseconds = 1_000;

/** Creates the origins of one process. */
export function createStreamOrigins(clock: Clock): StreamOrigins {
    /** In the order in which they were recorded. */
    const origins = new Map<string, StreamOrigin>();
    const listeners: ((origin: StreamOrigin) => void)[] = [];
    let nextSweepAt = -Infinity;
    let longestLifetime = minOriginLifetimeMilliseconds;

    const removeExpired = (now: number) => {
        if (now >= nextSweepAt) {
            nextSweepAt = now + sweepIntervalMilliseconds;
            origins.forEach(({ deadline }, streamId) => deadline <= now && origins.delete(streamId));
        }
    };

    /** The first origin of a stream holds, since a stream has only one; later ones extend its deadline. */
    const put = (origin: StreamOrigin): StreamOrigin => {
        const now = clock.monotonicNow();
        removeExpired(now);
        const known = origins.get(origin.streamId);
        const deadline = Math.max(origin.deadline, known?.deadline ?? -Infinity, now + minOriginLifetimeMilliseconds);
        const limited = Math.min(deadline, now + maxOriginLifetimeMilliseconds);
        longestLifetime = Math.max(longestLifetime, limited - now);
        const merged = { ...origin, ...known, deadline: limited };
        origins.set(origin.streamId, merged);
        if (origins.size > maxOrigins) {
            const [oldest = ""] = origins.keys();
            origins.delete(oldest);
        }
        return merged;
    };

    return {
        record: origin => {
            const recorded = put(origin);
            listeners.forEach(listener => listener(recorded));
        },
        recordRemote: origin => void put(origin),
        find: streamId => {
            const origin = origins.get(streamId);
            return origin && origin.deadline > clock.monotonicNow() ? origin : undefined;
        },
        list: () => {
            const now = clock.monotonicNow();
            return [...origins.values()].filter(({ deadline }) => deadline > now);
        },
        longestLifetime: () => longestLifetime,
        onRecorded: listener => void listeners.push(listener),
    };
}
