import { type Clock, EventKind, type EventLog, type Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { ChangeFeed, FeedPage, FeedRow } from "../../../ports/changeFeed.js";
import type { RelayedPage, RelayedTable } from "../coordination/createRelayedTables.js";
import type { TableReader } from "../coordination/createTableReader.js";

/** Takes what a followed table says. */
export interface TableFollower {
    /** All rows as of one moment: what is missing is gone. */
    replace(rows: readonly FeedRow[]): void;
    /**
     * Rows that changed.
     * @param storeFailedAt monotonic time at which the store last failed to answer whoever has read them, where that was
     * lately and is not known from this process's own calls
     */
    change(rows: readonly FeedRow[], storeFailedAt?: number): void;
}

/** How a table is followed. Times are in milliseconds. */
export interface FollowTiming {
    /**
     * How long one call waits for a change. It bounds how long a connection that has fallen silent stays unnoticed,
     * and each call has a price.
     */
    readonly waitMilliseconds: () => number;
    /** Pause after a change, so that changes in quick succession come as one answer. */
    readonly mergeMilliseconds: number;
}

/** What {@link followTable} needs. */
export interface FollowTableOptions {
    readonly name: string;
    readonly feed: ChangeFeed;
    readonly follower: TableFollower;
    readonly timing: FollowTiming;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Told of each answer and each failure of the store, with the time the call took beyond its wait. */
    readonly onCall?: (isAnswered: boolean) => void;
    /** News that another process passes on: while it does, the store is not asked. */
    readonly relay?: RelayedTable;
    /** Takes what the store has answered, for other processes. */
    readonly reader?: Pick<TableReader, "noteAnswer" | "noteFailure">;
}

/** Beyond its wait, a call gets this long before its connection counts as silent. */
const answerSlackMilliseconds = 500;
const readTimeoutMilliseconds = 1_000;
/** First and longest pause after a failed call; between them it doubles. */
const firstRetryMilliseconds = 250;
const longestRetryMilliseconds = 1_200;

/** Follows one table until the signal is aborted: reads it whole, then takes its changes, and anew after a loss. */
export async function followTable(options: FollowTableOptions, signal: AbortSignal): Promise<void> {
    const { feed, follower, timing, clock } = options;
    let version: number | undefined;
    let retryMilliseconds = firstRetryMilliseconds;
    let isReachable = true;

    const take = (page: RelayedPage): number => {
        if (page.isHistoryLost) {
            version = undefined;
            return 0;
        }
        const isWhole = version === undefined;
        version = page.version;
        if (isWhole) {
            follower.replace(page.rows);
        }
        else if (page.rows.length > 0) {
            follower.change(page.rows, page.storeFailedAt);
        }
        return page.rows.length > 0 ? timing.mergeMilliseconds : 0;
    };

    const noteReachable = (reachable: boolean, reason?: string) => {
        options.onCall?.(reachable);
        if (reachable !== isReachable) {
            isReachable = reachable;
            const kind = reachable ? EventKind.StoreAvailable : EventKind.StoreUnavailable;
            options.eventLog.record(kind, { table: options.name, reason, version });
        }
    };

    const askStore = () => {
        const now = clock.monotonicNow();
        const wait = timing.waitMilliseconds();
        return version === undefined
            ? feed.readAll(now + readTimeoutMilliseconds)
            : feed.waitForChanges(version, wait, now + wait + answerSlackMilliseconds);
    };

    /** @returns the pause before the next call */
    const takeAnswer = (answer: Result<FeedPage, Failure>): number => {
        noteReachable(answer.isOk, answer.isErr ? answer.error.message : undefined);
        if (answer.isErr) {
            options.reader?.noteFailure(options.name);
            const pause = retryMilliseconds;
            retryMilliseconds = Math.min(longestRetryMilliseconds, retryMilliseconds * 2);
            return pause;
        }
        options.reader?.noteAnswer(options.name, answer.value, version);
        retryMilliseconds = firstRetryMilliseconds;
        return take(answer.value);
    };

    while (!signal.aborted) {
        const relayed = version === undefined ? undefined : await options.relay?.next(version, signal);
        if (relayed) {
            take(relayed);
        }
        else if (!signal.aborted) {
            const pause = takeAnswer(await askStore());
            await clock.sleepUntil(clock.monotonicNow() + pause, signal);
        }
    }
}
