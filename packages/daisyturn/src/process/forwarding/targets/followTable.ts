import { type Clock, EventKind, type EventLog } from "daisyturn-utils";
import type { ChangeFeed, FeedPage, FeedRow } from "../../../ports/changeFeed.js";

/** Takes what a followed table says. */
export interface TableFollower {
    /** All rows as of one moment: what is missing is gone. */
    replace(rows: readonly FeedRow[]): void;
    /** Rows that changed. */
    change(rows: readonly FeedRow[]): void;
}

/** How a table is followed. Times are in milliseconds. */
export interface FollowTiming {
    /**
     * How long one call waits for a change. It bounds how long a connection that has fallen silent stays unnoticed,
     * and each call has a price.
     */
    readonly waitMilliseconds: number;
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

    const take = (page: FeedPage): number => {
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
            follower.change(page.rows);
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

    while (!signal.aborted) {
        const now = clock.monotonicNow();
        const page = version === undefined
            ? await feed.readAll(now + readTimeoutMilliseconds)
            : await feed.waitForChanges(
                version,
                timing.waitMilliseconds,
                now + timing.waitMilliseconds + answerSlackMilliseconds,
            );
        noteReachable(page.isOk, page.isErr ? page.error.message : undefined);
        let pause = retryMilliseconds;
        if (page.isOk) {
            pause = take(page.value);
            retryMilliseconds = firstRetryMilliseconds;
        }
        else {
            retryMilliseconds = Math.min(longestRetryMilliseconds, retryMilliseconds * 2);
        }
        if (pause > 0) {
            await clock.sleepUntil(clock.monotonicNow() + pause, signal);
        }
    }
}
