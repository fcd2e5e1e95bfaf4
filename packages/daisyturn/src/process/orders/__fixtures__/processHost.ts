import { Clock } from "daisyturn-utils";

/** Faults of one outgoing call of a process. */
export enum CallFault {
    /** The process ends; the call is not made. */
    KillBefore = "kill_before",
    /** The process ends while the call is in flight; the call takes effect later. */
    KillInFlight = "kill_in_flight",
    /** The call takes effect, and the process ends before it receives the answer. */
    KillAfter = "kill_after",
    /** The process is paused during the call, which takes effect when the process resumes. */
    PauseBefore = "pause_before",
    /** The call takes effect, and the process is paused before it receives the answer. */
    PauseAfter = "pause_after",
    /** Like PauseBefore, but the clocks of the process stand still, as when its VM is moved to another machine. */
    SuspendBefore = "suspend_before",
    /** Like PauseAfter, but the clocks of the process stand still. */
    SuspendAfter = "suspend_after",
    /** The call takes effect, but its answer is lost. */
    LoseAnswer = "lose_answer",
    /** The call is lost, and the process does not know whether it took effect. */
    LoseCall = "lose_call",
    /** The call is known not to have been sent. */
    NotSent = "not_sent",
}

/** Results of a call that ends without the callee's answer. */
export interface CallFailures<T> {
    readonly unknown: T;
    readonly notSent: T;
}

/** Kinds of outgoing calls; faults may be limited to some kinds. */
export enum CallKind {
    Store = "store",
    EngineOrder = "engine_order",
    EngineState = "engine_state",
}

/** Host of a simulated process. Counts its calls, and can pause or kill it at any of them. */
export interface ProcessHost {
    /** The clock of the process. While the process is paused, the clock advances but wakes no sleeper. */
    readonly clock: Clock;
    /** Makes an outgoing call. */
    call<T>(kind: CallKind, run: () => Promise<T>, failures: CallFailures<T>): Promise<T>;
    callCount(): number;
    /** Injects a fault at the call with that number, counted from 1. */
    failCall(index: number, fault: CallFault): void;
    /** Injects a fault at the next call of a kind. */
    failNext(kind: CallKind, fault: CallFault): void;
    /** Runs an action immediately before the call with that number and before its fault. */
    atCall(index: number, action: (kind: CallKind) => void): void;
    /** While set, calls of that kind fail as not sent. */
    cutOff(kind: CallKind, isCut: boolean): void;
    kill(): void;
    pause(milliseconds: number): void;
    isDead(): boolean;
    isPaused(): boolean;
    /** Resolves when the process can continue: at once, after a pause, or never if it was killed. */
    whenActive(): Promise<void>;
}

/** How long a call stays in flight when its process is killed with `KillInFlight`. */
export const flightMilliseconds = 7_000;

/**
 * Creates the host of a process that runs on the clock of the test.
 * @param drawDelay returns the delay of a call or of its answer, in milliseconds
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
    /** Total length of completed suspensions, by which the clocks of the process lag. */
    let pastSuspensionMilliseconds = 0;
    /** Start of the current suspension, or of one that has ended and is not yet added to the total. */
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

    /** Returns by how many milliseconds the clocks of the process lag now. */
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
                // Rounded up, so that a sleeper never wakes slightly early and loops without advancing.
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
