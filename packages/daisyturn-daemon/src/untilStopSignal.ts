/**
 * Waits for the first of the signals that ask a process to stop. Later ones change nothing: by default a second one
 * would end the process with its requests still running, and whoever is in a hurry still has SIGKILL.
 */
export function untilStopSignal(...signals: readonly NodeJS.Signals[]): Promise<void> {
    return new Promise(resolve => signals.forEach(signal => process.on(signal, () => resolve())));
}
