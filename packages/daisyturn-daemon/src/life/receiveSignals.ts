// Imports nothing, so that a program can load it before everything else.

/** Signals to a process, received since its first statement. */
export interface ReceivedSignals {
    /** Passes each signal to `handle` from now on, beginning with those that arrived before. */
    handOver(handle: (signal: NodeJS.Signals) => void): void;
}

/** Without a listener, Node.js ends the process at each of these, or opens a debugger port at SIGUSR1. */
const receivedSignals: readonly NodeJS.Signals[] = ["SIGHUP", "SIGTERM", "SIGINT", "SIGUSR1", "SIGUSR2"];

let received: ReceivedSignals | undefined;

/**
 * Installs the listeners. The first statement of a program calls it, before the rest of the program is loaded. Until
 * {@link ReceivedSignals.handOver} is called, a signal to stop ends the process with exit code 0, since nothing has begun
 * that would have to be finished; others are remembered.
 */
export function receiveSignals(): ReceivedSignals {
    return received ??= installListeners();
}

/** Whether a signal asks the process to stop. */
export function isStopSignal(signal: NodeJS.Signals): boolean {
    return signal === "SIGTERM" || signal === "SIGINT";
}

function installListeners(): ReceivedSignals {
    const pending = new Set<NodeJS.Signals>();
    let handle = (signal: NodeJS.Signals): void => {
        if (isStopSignal(signal)) {
            process.stderr.write(`event=process_ended phase=loading code=0 reason=${signal}\n`);
            process.exit(0);
        }
        pending.add(signal);
    };
    receivedSignals.forEach(signal => process.on(signal, () => handle(signal)));
    return {
        handOver: next => {
            handle = next;
            pending.forEach(next);
            pending.clear();
        },
    };
}
