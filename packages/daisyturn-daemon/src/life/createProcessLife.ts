import { EventKind, UserError } from "daisyturn-utils";
import { setImmediate } from "node:timers/promises";
import type { ProcessLog } from "./createProcessLog.js";
import { ProcessPhase } from "./processPhase.js";
import { isStopSignal, type ReceivedSignals } from "./receiveSignals.js";

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
    /** Runs the program and ends the process after it. */
    run(serve: () => Promise<void>): Promise<void>;
}

enum ExitCode {
    Success = 0,
    Failure = 1,
    InvalidSettings = 2,
}

/** Creates the life of the process that has received `signals`. */
export function createProcessLife(signals: ReceivedSignals, log: ProcessLog): ProcessLife {
    const { eventLog } = log;
    const stop = new AbortController();
    const stopped = new Promise<void>(resolve => stop.signal.addEventListener("abort", () => resolve()));
    let phase = ProcessPhase.Loading;
    let reload = (): void => undefined;

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
        eventLog.record(EventKind.ProcessEnded, { phase, code, reason });
        log.flush();
        process.exit(code);
    };

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
            end(ExitCode.Success, String(stop.signal.reason));
        },
    };
}

function describeError(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}
