import { type Clock, EventKind, type EventLog } from "daisyturn-utils";

/** The limits of requests that targets name in their answers, as this process has seen them. */
export interface TargetLimits {
    /**
     * Records what an answer names.
     * @param limit requests a second for all processes together; undefined if none, NaN if it can't be read
     */
    record(targetId: string, limit: number | undefined): void;
    /**
     * Records what another process has seen.
     * @param age milliseconds since the target named the limit
     */
    recordRemote(targetId: string, limit: number, age: number): void;
    /** The limit in force of a target; undefined if it names none. */
    find(targetId: string): number | undefined;
    /** The same with the time at which it was named. */
    findNamed(targetId: string): NamedLimit | undefined;
    /** Number of targets that name a limit. */
    count(): number;
    forget(targetId: string): void;
}

/**
 * Time from the last answer that named a limit until answers without one end it. Answers to calls that were under way
 * when the limit was named, and those of targets that name it now and then, come without it before.
 */
const lifetimeMilliseconds = 4_000;

/** A limit that a target has named. */
export interface NamedLimit {
    /** Requests a second. */
    readonly limit: number;
    /** Monotonic time. */
    readonly namedAt: number;
}

export function createTargetLimits(clock: Clock, eventLog: EventLog): TargetLimits {
    const limits = new Map<string, NamedLimit>();
    /** Targets whose unreadable limit was logged. */
    const unreadable = new Set<string>();

    const end = (targetId: string) => {
        if (limits.delete(targetId)) {
            eventLog.record(EventKind.TargetUnlimited, { target: targetId });
        }
    };

    const name = (targetId: string, limit: number, namedAt: number) => {
        if (limits.get(targetId)?.limit !== limit) {
            eventLog.record(EventKind.TargetLimited, { target: targetId, limit });
        }
        limits.set(targetId, { limit, namedAt });
    };

    const reject = (targetId: string) => {
        if (!unreadable.has(targetId)) {
            unreadable.add(targetId);
            eventLog.record(EventKind.Fault, { target: targetId, reason: "the answer names an unreadable limit" });
        }
    };

    return {
        record: (targetId, limit) => {
            if (limit !== undefined && Number.isNaN(limit)) {
                reject(targetId);
            }
            else if (limit !== undefined) {
                name(targetId, limit, clock.monotonicNow());
            }
            else if (clock.monotonicNow() - (limits.get(targetId)?.namedAt ?? Infinity) > lifetimeMilliseconds) {
                end(targetId);
            }
        },
        recordRemote: (targetId, limit, age) => {
            const namedAt = clock.monotonicNow() - age;
            if (age <= lifetimeMilliseconds && namedAt > (limits.get(targetId)?.namedAt ?? -Infinity)) {
                name(targetId, limit, namedAt);
            }
        },
        find: targetId => limits.get(targetId)?.limit,
        findNamed: targetId => limits.get(targetId),
        count: () => limits.size,
        forget: targetId => {
            limits.delete(targetId);
            unreadable.delete(targetId);
        },
    };
}
