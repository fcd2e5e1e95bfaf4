import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import { EngineStage } from "../../../ports/listedTarget.js";
import type { ClosedTargets } from "./createClosedTargets.js";
import type { TargetList } from "./createTargetList.js";

/** Why a target takes no new work of this process. */
export enum UnavailableReason {
    /** It is no longer listed, or leaves. */
    Leaving = "leaving",
    /** It is about to change its stage. */
    Closed = "closed",
    /** It has turned a call of this process away and asked for a rest. */
    Resting = "resting",
    /** It names a limit of requests, and this process got no token of it. */
    Throttled = "throttled",
}

export interface Unavailability {
    readonly reason: UnavailableReason;
    /** Monotonic time from which the target takes work again; infinite if it does not, or if that is not known. */
    readonly until: number;
}

/**
 * Whether targets take new work of this process. Asked where targets are chosen, and again right before each send. Targets
 * that are only suspected are available, since they are used where too few others are left (`TargetHealth`).
 */
export interface TargetAvailability {
    /** Undefined if the target takes work. */
    check(targetId: string): Unavailability | undefined;
    /**
     * Monotonic time at which the first target of a service takes work again, apart from engines that only prefill;
     * undefined if one takes work, or if none is known to take it again.
     */
    nextAt(service: string): number | undefined;
    /**
     * Records that a target has turned a call away and wants none of this process for a time.
     * @param milliseconds of the rest; undefined if the answer names none, NaN if it names something else than a time
     */
    recordRest(targetId: string, milliseconds: number | undefined): void;
    /** Records that a target takes no work of this process until a monotonic time, because it is at its limit. */
    recordThrottle(targetId: string, until: number): void;
    /** Monotonic time at which the first throttled target of a service takes work again; undefined if none is throttled. */
    nextThrottleEnd(service: string): number | undefined;
    /** Records that an answer of a target says that it leaves, which its entry in the list may not say yet. */
    recordLeaving(targetId: string): void;
    /** Number of targets that rest. */
    countResting(): number;
    /** Number of targets that this process sends nothing to because they are at their limit. */
    countThrottled(): number;
    forget(targetId: string): void;
}

/** A longer rest is taken for a mistake, and ends then. */
const maxRestMilliseconds = 3_600_000;

/** Creates the view of one process. */
export function createTargetAvailability(
    targets: Pick<TargetList, "isOpen" | "open" | "recordLeaving">,
    closed: Pick<ClosedTargets, "isClosed">,
    clock: Clock,
    eventLog: EventLog,
): TargetAvailability {
    /** Monotonic time at which the rest of a target ends. */
    const restEnds = new Map<string, number>();
    /** Monotonic time at which a target that is at its limit is used again. */
    const throttleEnds = new Map<string, number>();
    /** Targets whose unreadable rest was logged. */
    const unreadable = new Set<string>();

    const isResting = (targetId: string) => (restEnds.get(targetId) ?? -Infinity) > clock.monotonicNow();

    const isThrottled = (targetId: string) => (throttleEnds.get(targetId) ?? -Infinity) > clock.monotonicNow();

    const check = (targetId: string): Unavailability | undefined => {
        if (!targets.isOpen(targetId)) {
            return { reason: UnavailableReason.Leaving, until: Infinity };
        }
        if (closed.isClosed(targetId)) {
            return { reason: UnavailableReason.Closed, until: Infinity };
        }
        if (isResting(targetId)) {
            return { reason: UnavailableReason.Resting, until: restEnds.get(targetId) ?? Infinity };
        }
        return isThrottled(targetId)
            ? { reason: UnavailableReason.Throttled, until: throttleEnds.get(targetId) ?? Infinity }
            : undefined;
    };

    const rest = (targetId: string, milliseconds: number) => {
        const until = clock.monotonicNow() + Math.min(milliseconds, maxRestMilliseconds);
        if (!isResting(targetId)) {
            eventLog.record(EventKind.TargetResting, { target: targetId, forMilliseconds: milliseconds });
        }
        restEnds.set(targetId, Math.max(until, restEnds.get(targetId) ?? -Infinity));
    };

    const reject = (targetId: string) => {
        if (!unreadable.has(targetId)) {
            unreadable.add(targetId);
            eventLog.record(EventKind.Fault, { target: targetId, reason: "the answer names an unreadable rest" });
        }
    };

    return {
        check,
        nextAt: service => {
            const serving = targets.open(service).filter(({ stage }) => stage !== EngineStage.Prefill);
            const found = serving.map(({ targetId }) => check(targetId));
            const next = Math.min(...found.map(unavailable => unavailable?.until ?? -Infinity));
            return Number.isFinite(next) ? next : undefined;
        },
        recordRest: (targetId, milliseconds) => {
            if (milliseconds !== undefined && Number.isNaN(milliseconds)) {
                reject(targetId);
            }
            else if (milliseconds !== undefined && milliseconds > 0) {
                rest(targetId, milliseconds);
            }
        },
        recordThrottle: (targetId, until) => {
            // Calls that ask at the same time get different times; the earliest one is enough to ask again.
            throttleEnds.set(
                targetId,
                isThrottled(targetId) ? Math.min(throttleEnds.get(targetId) ?? until, until) : until,
            );
        },
        nextThrottleEnd: service => {
            const throttled = targets.open(service)
                .map(({ targetId }) => check(targetId))
                .filter(found => found?.reason === UnavailableReason.Throttled)
                .map(found => found?.until ?? Infinity);
            return throttled.length > 0 ? Math.min(...throttled) : undefined;
        },
        recordLeaving: targets.recordLeaving,
        countResting: () => [...restEnds.keys()].filter(isResting).length,
        countThrottled: () => [...throttleEnds.keys()].filter(isThrottled).length,
        forget: targetId => {
            restEnds.delete(targetId);
            throttleEnds.delete(targetId);
            unreadable.delete(targetId);
        },
    };
}
