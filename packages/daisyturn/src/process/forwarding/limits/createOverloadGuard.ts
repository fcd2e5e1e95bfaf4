import { type Clock, EventKind, type EventLog, type Random } from "daisyturn-utils";

/** Protects a process from more load than its processor can handle. */
export interface OverloadGuard {
    /** Whether a call that arrives now should be refused at once, so that earlier calls are served on time. */
    shouldRefuse(): boolean;
    /** Fraction of the time in which the event loop is busy, from 0 to 1. */
    utilization(): number;
    /** Whether the overload has lasted so long that new connections should go to other processes. */
    isPersistentlyOverloaded(): boolean;
    run(signal: AbortSignal): Promise<void>;
}

/** What {@link createOverloadGuard} needs. */
export interface OverloadGuardOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly eventLog: EventLog;
    /** Returns the fraction of the time since its last call, from 0 to 1, in which the event loop was busy. */
    readonly sampleUtilization: () => number;
}

/** Interval between two measurements. */
const measureIntervalMilliseconds = 25;
/**
 * Without calls for this long, a process below this utilization stops measuring until the next call, because wake-ups
 * cost processor time.
 */
const idleMilliseconds = 150;
const idleUtilization = 0.5;
/**
 * Lag at which refusals begin, and at which they reach their maximum. Above half a second, the process would forward
 * calls whose callers have left, because the events of their closed connections wait in the same queue.
 */
const firstLagMilliseconds = 80;
const fullLagMilliseconds = 300;
const maxRefusedFraction = 0.9;
/**
 * An event loop that is never idle leaves connections waiting in the kernel's queue, which the lag does not show. Above
 * this utilization, the fraction of refused calls increases with each measurement; below it, the fraction decreases.
 */
const fullUtilization = 0.96;
const refusalIncrease = 0.04;
const refusalDecrease = 0.02;
/** Weight of a measurement in the smoothed utilization, and in the lag if it is lower than the previous lag. */
const utilizationWeight = 0.25;
const decreasingLagWeight = 0.25;
/** An overload that lasts longer than this is not a short burst. */
const persistentOverloadMilliseconds = 700;

/** Creates the guard of one process: it measures how late its own timer fires and how busy the event loop is. */
export function createOverloadGuard(options: OverloadGuardOptions): OverloadGuard {
    const { clock, random, eventLog } = options;
    let lag = 0;
    let utilization = 0;
    /** Fraction of the calls that is refused because of the utilization. */
    let refusedFraction = 0;
    /** Monotonic time at which the next measurement is due; time beyond it is lag that has not been measured yet. */
    let dueAt = Infinity;
    let overloadedSince: number | undefined;
    let lastCallAt = clock.monotonicNow();
    /** Resumes measuring; undefined while measuring is active. */
    let resume: (() => void) | undefined;

    const measure = () => {
        const delay = Math.max(0, clock.monotonicNow() - dueAt);
        lag = delay > lag ? delay : lag + (delay - lag) * decreasingLagWeight;
        utilization += (options.sampleUtilization() - utilization) * utilizationWeight;
        refusedFraction = utilization > fullUtilization
            ? Math.min(maxRefusedFraction, refusedFraction + refusalIncrease)
            : Math.max(0, refusedFraction - refusalDecrease);
        recordState(lag >= firstLagMilliseconds || refusedFraction > 0);
    };

    const recordState = (isOverloaded: boolean) => {
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
            dueAt = lastCallAt + measureIntervalMilliseconds;
            // The time without measurements was idle.
            options.sampleUtilization();
            resume();
        }
    };

    const isIdle = () =>
        overloadedSince === undefined && utilization < idleUtilization
        && clock.monotonicNow() - lastCallAt > idleMilliseconds;

    const waitForCall = (signal: AbortSignal) =>
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
            // A flood of connections is accepted in one turn of the event loop, in which no timer fires.
            const lagNow = Math.max(lag, clock.monotonicNow() - dueAt);
            const excess = (lagNow - firstLagMilliseconds) / (fullLagMilliseconds - firstLagMilliseconds);
            const fraction = Math.max(refusedFraction, Math.min(1, excess) * maxRefusedFraction);
            return fraction > 0 && random.fraction() < fraction;
        },
        utilization: () => utilization,
        isPersistentlyOverloaded: () =>
            overloadedSince !== undefined && clock.monotonicNow() - overloadedSince > persistentOverloadMilliseconds,
        run: async signal => {
            while (!signal.aborted) {
                if (isIdle()) {
                    await waitForCall(signal);
                }
                dueAt = clock.monotonicNow() + measureIntervalMilliseconds;
                await clock.sleepUntil(dueAt, signal);
                measure();
            }
        },
    };
}
