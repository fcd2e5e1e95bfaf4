import { type Clock, EventKind, type EventLog } from "daisyturn-utils";

/** How an error came to be caught by nothing. */
export enum UncaughtErrorKind {
    Exception = "exception",
    Rejection = "rejection",
}

/** Options of {@link watchUncaughtErrors}. */
export interface UncaughtErrorOptions {
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly onError?: (kind: UncaughtErrorKind) => void;
    /** Called at each error from when the errors no longer pass for single ones. */
    readonly onPersistent: () => void;
}

/** A timer that fails each time reaches this number within the window if its interval is below 100 ms. */
const persistentErrors = 100;
const windowMilliseconds = 10_000;
/** Errors that go on must not use up what the log may write. */
const lineIntervalMilliseconds = 100;
const maxDescriptionCharacters = 2_000;

/**
 * Logs exceptions and rejections that nothing catches, and lets the process go on: one handler that fails must not end the
 * calls of all callers. Each call has its own state, and what all calls share is read anew from the store and from peers.
 */
export function watchUncaughtErrors({ clock, eventLog, onError, onPersistent }: UncaughtErrorOptions): void {
    let times: readonly number[] = [];
    const lines = new Map<UncaughtErrorKind, { nextAt: number; errors: number; }>();

    const record = (kind: UncaughtErrorKind, error: unknown) => {
        const now = clock.monotonicNow();
        times = [...times.filter(time => time > now - windowMilliseconds), now].slice(-persistentErrors);
        const line = lines.get(kind) ?? { nextAt: now, errors: 0 };
        lines.set(kind, line);
        line.errors += 1;
        if (now >= line.nextAt) {
            eventLog.record(EventKind.UncaughtError, { kind, errors: line.errors, reason: describeError(error) });
            line.nextAt = now + lineIntervalMilliseconds;
            line.errors = 0;
        }
        onError?.(kind);
        if (times.length >= persistentErrors) {
            onPersistent();
        }
    };
    process.on("uncaughtException", error => record(UncaughtErrorKind.Exception, error));
    process.on("unhandledRejection", error => record(UncaughtErrorKind.Rejection, error));
}

/** Returns the stack of an error, shortened to 2,000 characters. */
export function describeError(error: unknown): string {
    const text = error instanceof Error ? error.stack ?? error.message : String(error);
    return text.slice(0, maxDescriptionCharacters);
}
