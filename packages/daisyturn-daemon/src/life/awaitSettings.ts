import { type Clock, EventKind, type EventLog } from "daisyturn-utils";

/** Options of {@link awaitSettings}. */
export interface SettingsWaitOptions {
    /** Monotonic time after which the error of a read is final. */
    readonly deadline: number;
    /** Ends the wait. */
    readonly signal: AbortSignal;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

const retryMilliseconds = 50;

/**
 * Reads settings until they can be read. A file that is absent, unreadable or incomplete may be about to be replaced by
 * its writer.
 * @returns undefined if `signal` was aborted before
 * @throws the last error of `load` once the deadline has passed
 */
export async function awaitSettings<Settings>(
    load: () => Settings,
    { deadline, signal, clock, eventLog }: SettingsWaitOptions,
): Promise<Settings | undefined> {
    let isAwaited = false;
    while (!signal.aborted) {
        try {
            return load();
        }
        catch (error) {
            if (clock.monotonicNow() >= deadline) {
                throw error;
            }
            if (!isAwaited) {
                isAwaited = true;
                eventLog.record(EventKind.SettingsAwaited, { reason: (error as Error).message });
            }
        }
        await clock.sleepUntil(Math.min(deadline, clock.monotonicNow() + retryMilliseconds), signal);
    }
    return undefined;
}
