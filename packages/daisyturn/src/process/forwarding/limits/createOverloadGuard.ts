import { type Clock, EventKind, type EventLog, type Random } from "daisyturn-utils";

/** Protects a process that has more to do than its processor bears. */
export interface OverloadGuard {
    /** Whether a call that arrives now is to be refused at once, so that those before it are served in time. */
    shouldRefuse(): boolean;
    /** Whether the process has been overloaded for so long that new connections should go elsewhere. */
    isOverwhelmed(): boolean;
    run(signal: AbortSignal): Promise<void>;
}

/** What {@link createOverloadGuard} needs. */
export interface OverloadGuardOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    /** Part of the time since the last call, from 0 to 1, in which the event loop was busy. */
    readonly takeUtilization: () => number;
}

/** Pause between two measurements. */
const measureMilliseconds = 25;
/** With no call for this long, a process below this utilization stops measuring until the next one: wake-ups cost time. */
const idleMilliseconds = 150;
const idleUtilization = 0.5;
/**
 * Lag from which calls are refused, and at which most are. Above half a second the process would pass calls on whose
 * callers have long left: their closed connections wait in the same queue.
 */
const firstLagMilliseconds = 80;
const fullLagMilliseconds = 300;
const mostRefused = 0.9;
/**
 * An event loop that is never idle has connections waiting in the kernel's queue, where no lag shows. From this part of
 * the time on, more and more calls are refused, and fewer again below it.
 */
const fullUtilization = 0.96;
const refusalRise = 0.04;
const refusalFall = 0.02;
/** Weight of one measurement in the utilization, and of a lag that is below the one before. */
const utilizationWeight = 0.25;
const fallingWeight = 0.25;
/** An overload that lasts so long is no passing burst. */
const overwhelmedMilliseconds = 700;

/** Creates the guard of one process: it measures how late its own timer fires and how busy the event loop is. */
export function createOverloadGuard(options: OverloadGuardOptions): OverloadGuard {
    const { clock, random, eventLog } = options;
    let lag = 0;
    let utilization = 0;
    /** Part of the calls that is refused for the utilization's sake. */
    let refusedPart = 0;
    /** Monotonic time of the next measurement; what is past it has not been measured yet. */
    let dueAt = Infinity;
    let overloadedSince: number | undefined;
    let lastCallAt = clock.monotonicNow();
    /** Resumes measuring; undefined while it goes on. */
    let resume: (() => void) | undefined;

    const measure = () => {
        const late = Math.max(0, clock.monotonicNow() - dueAt);
        lag = late > lag ? late : lag + (late - lag) * fallingWeight;
        utilization += (options.takeUtilization() - utilization) * utilizationWeight;
        refusedPart = utilization > fullUtilization
            ? Math.min(mostRefused, refusedPart + refusalRise)
            : Math.max(0, refusedPart - refusalFall);
        noteState(lag >= firstLagMilliseconds || refusedPart > 0);
    };

    const noteState = (isOverloaded: boolean) => {
        if (isOverloaded === (overloadedSince !== undefined)) {
            return;
        }
        overloadedSince = isOverloaded ? clock.monotonicNow() : undefined;
        eventLog.record(isOverloaded ? EventKind.Overloaded : EventKind.BackInService, {
            lag: Math.round(lag),
            utilization: Number(utilization.toFixed(2)),
        });
    };

    const recordCall = () => {
        lastCallAt = clock.monotonicNow();
        if (resume) {
            dueAt = lastCallAt + measureMilliseconds;
            // The time without measurements was idle.
            options.takeUtilization();
            resume();
        }
    };

    const isIdle = () =>
        overloadedSince === undefined && utilization < idleUtilization
        && clock.monotonicNow() - lastCallAt > idleMilliseconds;

    const untilCall = (signal: AbortSignal) =>
        new Promise<void>(resolve => {
            dueAt = Infinity;
            resume = () => {
                signal.removeEventListener("abort", resolve as () => void);
                resume = undefined;
                resolve();
            };
            signal.addEventListener("abort", resolve as () => void, { once: true });
        });

    return {
        shouldRefuse: () => {
            recordCall();
            // A flood of connections is taken in one turn, in which no timer fires.
            const lagNow = Math.max(lag, clock.monotonicNow() - dueAt);
            const excess = (lagNow - firstLagMilliseconds) / (fullLagMilliseconds - firstLagMilliseconds);
            const part = Math.max(refusedPart, Math.min(1, excess) * mostRefused);
            return part > 0 && random.fraction() < part;
        },
        isOverwhelmed: () =>
            overloadedSince !== undefined && clock.monotonicNow() - overloadedSince > overwhelmedMilliseconds,
        run: async signal => {
            while (!signal.aborted) {
                if (isIdle()) {
                    await untilCall(signal);
                }
                dueAt = clock.monotonicNow() + measureMilliseconds;
                await clock.sleepUntil(dueAt, signal);
                measure();
            }
        },
    };
}
