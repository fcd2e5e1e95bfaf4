import { Clock } from "daisyturn-utils";

/** What goes wrong with one call of a process to the outside. */
export enum CallFault {
    /** The process ends; the call is not made. */
    KillBefore = "kill_before",
    /** The process ends while the call is on its way: it takes effect later. */
    KillInFlight = "kill_in_flight",
    /** The call takes effect, and the process ends before its answer. */
    KillAfter = "kill_after",
    /** The process is paused within the call, which takes effect when it goes on. */
    PauseBefore = "pause_before",
    /** The call takes effect, and the process is paused before its answer. */
    PauseAfter = "pause_after",
    /** As with PauseBefore, and the clocks of the process stand still, as when its VM is moved to another machine. */
    SuspendBefore = "suspend_before",
    /** As with PauseAfter, and the clocks of the process stand still. */
    SuspendAfter = "suspend_after",
    /** The call takes effect, and its answer is lost. */
    LoseAnswer = "lose_answer",
    /** The call is lost, and so is the knowledge of it. */
    LoseCall = "lose_call",
    /** The call is known not to have been sent. */
    NotSent = "not_sent",
}

/** How a call ends without its own answer. */
export interface CallFailures<T> {
    readonly unknown: T;
    readonly notSent: T;
}

/** What a process calls; faults may be limited to some kinds. */
export enum CallKind {
    Store = "store",
    EngineOrder = "engine_order",
    EngineState = "engine_state",
}

/** One process of a test: its calls are counted, and it can be paused and killed at any of them. */
export interface ProcessHost {
    /** The clock of the process: it reads on, but nobody is woken by it, while the process is paused. */
    readonly clock: Clock;
    /** Makes a call to the outside. */
    call<T>(kind: CallKind, run: () => Promise<T>, failures: CallFailures<T>): Promise<T>;
    callCount(): number;
    /** Puts a fault on the call with that number, counted from 1. */
    failCall(index: number, fault: CallFault): void;
    /** Puts a fault on the next call of a kind. */
    failNext(kind: CallKind, fault: CallFault): void;
    /** Runs an action right before the call with that number, and before its fault. */
    atCall(index: number, action: (kind: CallKind) => void): void;
    /** While set, calls of that kind are known not to be sent. */
    cutOff(kind: CallKind, isCut: boolean): void;
    kill(): void;
    pause(milliseconds: number): void;
    isDead(): boolean;
    isPaused(): boolean;
    /** Resolves when the process can act: at once, after a pause, or never. */
    whenActive(): Promise<void>;
}

/** How long calls of a killed process are on their way. */
export const flightMilliseconds = 7_000;

/**
 * Creates a process on the clock of the test.
 * @param drawDelay milliseconds on the way of a call or of its answer
 */
export function createProcessHost(
    clock: Clock,
    pauseMilliseconds: number,
    drawDelay: () => number = () => 0,
): ProcessHost {
    const faults = new Map<number, CallFault>();
    const actions = new Map<number, (kind: CallKind) => void>();
    const nextFaults = new Map<CallKind, CallFault>();
    const cut = new Set<CallKind>();
    let calls = 0;
    let isDead = false;
    let pausedUntil = -Infinity;
    /** How far the clocks of the process are behind after past suspensions. */
    let pastSuspensionMilliseconds = 0;
    /** When the suspension began that goes on or has just ended. */
    let suspendedAt: number | undefined;

    const isPaused = () => clock.monotonicNow() < pausedUntil;

    const whenActive = async () => {
        while (isPaused()) {
            await clock.sleepUntil(pausedUntil);
        }
        if (isDead) {
            await new Promise<never>(() => undefined);
        }
    };

    const pause = (milliseconds: number) => {
        pausedUntil = clock.monotonicNow() + milliseconds;
    };

    const suspend = (milliseconds: number) => {
        suspendedAt = clock.monotonicNow();
        pause(milliseconds);
    };

    /** How far the clocks of the process are behind now. */
    const computeClockLag = () => {
        if (suspendedAt !== undefined && isPaused()) {
            return pastSuspensionMilliseconds + clock.monotonicNow() - suspendedAt;
        }
        if (suspendedAt !== undefined) {
            pastSuspensionMilliseconds += pausedUntil - suspendedAt;
            suspendedAt = undefined;
        }
        return pastSuspensionMilliseconds;
    };

    const kill = () => {
        isDead = true;
    };

    const call = async <T>(kind: CallKind, run: () => Promise<T>, failures: CallFailures<T>): Promise<T> => {
        await whenActive();
        calls += 1;
        actions.get(calls)?.(kind);
        const fault = faults.get(calls) ?? nextFaults.get(kind);
        nextFaults.delete(kind);
        await applyDelay();
        const answer = await callWith(fault ?? (cut.has(kind) ? CallFault.NotSent : undefined), run, failures);
        await applyDelay();
        await whenActive();
        return answer;
    };

    const applyDelay = async () => {
        const delay = drawDelay();
        if (delay > 0) {
            await clock.sleepUntil(clock.monotonicNow() + delay);
        }
    };

    const callWith = async <T>(fault: CallFault | undefined, run: () => Promise<T>, failures: CallFailures<T>) => {
        switch (fault) {
            case undefined:
                return run();
            case CallFault.KillBefore:
                kill();
                return failures.unknown;
            case CallFault.KillInFlight:
                kill();
                await clock.sleepUntil(clock.monotonicNow() + flightMilliseconds);
                return run();
            case CallFault.KillAfter:
                kill();
                return run();
            case CallFault.PauseBefore:
                pause(pauseMilliseconds);
                await whenActive();
                return run();
            case CallFault.PauseAfter:
                pause(pauseMilliseconds);
                return run();
            case CallFault.SuspendBefore:
                suspend(pauseMilliseconds);
                await whenActive();
                return run();
            case CallFault.SuspendAfter:
                suspend(pauseMilliseconds);
                return run();
            case CallFault.LoseAnswer:
                await run();
                return failures.unknown;
            case CallFault.LoseCall:
                return failures.unknown;
            case CallFault.NotSent:
                return failures.notSent;
        }
    };

    class HostClock extends Clock {
        override monotonicNow(): number {
            return clock.monotonicNow() - computeClockLag();
        }

        override wallNow(): number {
            return clock.wallNow() - computeClockLag();
        }

        override async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
            while (this.monotonicNow() < deadline && !signal?.aborted) {
                const behind = computeClockLag();
                // Rounded up, so that a sleeper never wakes a little too early and spins.
                await clock.sleepUntil(behind > 0 ? Math.floor(deadline + behind) + 1 : deadline, signal);
                await whenActive();
            }
            await whenActive();
        }
    }

    return {
        clock: new HostClock(),
        call,
        callCount: () => calls,
        failCall: (index, fault) => faults.set(index, fault),
        failNext: (kind, fault) => nextFaults.set(kind, fault),
        atCall: (index, action) => actions.set(index, action),
        cutOff: (kind, isCut) => isCut ? cut.add(kind) : cut.delete(kind),
        kill,
        pause,
        isDead: () => isDead,
        isPaused,
        whenActive,
    };
}
