import { type Clock, EventKind, UserError } from "daisyturn-utils";
import { setImmediate } from "node:timers/promises";
import type { ProcessLog } from "./createProcessLog.js";
import { ProcessPhase } from "./processPhase.js";
import { isStopSignal, type ReceivedSignals } from "./receiveSignals.js";
import { describeError, type UncaughtErrorKind, watchUncaughtErrors } from "./watchUncaughtErrors.js";

/** The life of one process, from the handover of its signals to its end. */
export interface ProcessLife {
    /** Aborted once the process is to stop. */
    readonly stopRequested: AbortSignal;
    /** Begins a phase and handles signals that have arrived meanwhile. */
    enter(phase: ProcessPhase): Promise<void>;
    /** Sets what SIGHUP does. One that arrived before has no effect: the settings are read after it. */
    onReload(reload: () => void): void;
    /** Resolves once the process is to stop. */
    untilStopRequested(): Promise<void>;
    /** Sets what is told of errors that nothing catches, beside the log. */
    onUncaughtError(record: (kind: UncaughtErrorKind) => void): void;
    /** Ends the process at a monotonic time at which its stop should have ended. */
    limitStop(deadline: number): void;
    /** Runs the program and ends the process after it. */
    run(serve: () => Promise<void>): Promise<void>;
}

enum ExitCode {
    Success = 0,
    Failure = 1,
    InvalidSettings = 2,
}

/** Creates the life of the process that has received `signals`. */
export function createProcessLife(signals: ReceivedSignals, log: ProcessLog, clock: Clock): ProcessLife {
    const { eventLog } = log;
    const stop = new AbortController();
    const stopped = new Promise<void>(resolve => stop.signal.addEventListener("abort", () => resolve()));
    let phase = ProcessPhase.Loading;
    let reload = (): void => undefined;
    let recordUncaughtError: (kind: UncaughtErrorKind) => void = () => undefined;
    let exitCode = ExitCode.Success;

    const handle = (signal: NodeJS.Signals) => {
        eventLog.record(EventKind.SignalReceived, { signal, phase });
        if (isStopSignal(signal)) {
            stop.abort(signal);
        }
        else if (signal === "SIGHUP") {
            reload();
        }
    };

    const end = (code: ExitCode, reason: string) => {
        log.unboundedLog.record(EventKind.ProcessEnded, { phase, code, reason });
        log.flush();
        process.exit(code);
    };

    watchUncaughtErrors({
        clock,
        eventLog,
        onError: kind => recordUncaughtError(kind),
        onPersistent: () => {
            exitCode = ExitCode.Failure;
            stop.abort("too many errors that nothing caught");
        },
    });

    return {
        stopRequested: stop.signal,
        enter: async next => {
            phase = next;
            eventLog.record(EventKind.PhaseEntered, { phase });
            // Node.js handles signals between two turns of the event loop, and the program is loaded in one turn.
            await setImmediate();
        },
        onReload: next => {
            reload = next;
        },
        onUncaughtError: next => {
            recordUncaughtError = next;
        },
        limitStop: deadline => {
            const expire = () => end(ExitCode.Failure, "the stop has not ended in time");
            setTimeout(expire, Math.max(0, deadline - clock.monotonicNow())).unref();
        },
        untilStopRequested: () => stopped,
        run: async serve => {
            signals.handOver(handle);
            try {
                await serve();
            }
            catch (error) {
                const text = error instanceof UserError ? error.message : describeError(error);
                process.stderr.write(`${text}\n`);
                end(error instanceof UserError ? ExitCode.InvalidSettings : ExitCode.Failure, text);
            }
            end(exitCode, String(stop.signal.reason));
        },
    };
}
