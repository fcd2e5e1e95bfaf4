/**
 * Waits for the first of the given stop signals. Later ones are ignored, because Node.js's default handling of a second
 * signal would end the process while requests are still running. SIGKILL still ends it at once.
 */
export function untilStopSignal(...signals: readonly NodeJS.Signals[]): Promise<void> {
    return new Promise(resolve => signals.forEach(signal => process.on(signal, () => resolve())));
}
