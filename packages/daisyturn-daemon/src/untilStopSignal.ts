import { isStopSignal, type ReceivedSignals } from "./life/receiveSignals.js";

/**
 * Waits for the first signal to stop. Later ones are ignored, because Node.js's default handling of a second signal would
 * end the process while requests are still running. SIGKILL still ends it at once.
 */
export function untilStopSignal(signals: ReceivedSignals): Promise<void> {
    return new Promise(resolve => signals.handOver(signal => isStopSignal(signal) && resolve()));
}
