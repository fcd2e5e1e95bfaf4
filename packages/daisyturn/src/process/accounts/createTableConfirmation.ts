import type { Clock } from "daisyturn-utils";

/** When a table of the store was last known to be complete at this process. */
export interface TableConfirmation {
    /** Records that the store has answered this process. */
    recordAnswer(): void;
    /**
     * Records that a coordinator's reports of the table are followed, until the returned function is called with whether
     * there were any.
     */
    beginRelay(): (hasReports: boolean) => void;
    /** Whether nothing can have changed longer ago than this, in milliseconds, without this process having learned of it. */
    isWithin(milliseconds: number): boolean;
}

/**
 * Creates the confirmation of one table. A suspension of the VM is not noticed before the next call to the store.
 * @param relayAgeMilliseconds the largest age of a coordinator's report that is followed
 */
export function createTableConfirmation(clock: Clock, relayAgeMilliseconds: () => number): TableConfirmation {
    /** Monotonic time. */
    let confirmedAt = -Infinity;
    let relays = 0;
    return {
        recordAnswer: () => {
            confirmedAt = clock.monotonicNow();
        },
        beginRelay: () => {
            relays += 1;
            return hasReports => {
                relays -= 1;
                if (hasReports) {
                    confirmedAt = Math.max(confirmedAt, clock.monotonicNow() - relayAgeMilliseconds());
                }
            };
        },
        isWithin: milliseconds => relays > 0 || clock.monotonicNow() - confirmedAt <= milliseconds,
    };
}
