import { type Clock, EventKind, type EventLog, type Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { ChangeFeed, FeedPage, FeedRow } from "../../../ports/changeFeed.js";
import type { StorePosition } from "../../../ports/storePosition.js";
import type { RelayedPage, RelayedTable } from "../coordination/createRelayedTables.js";
import type { TableReader } from "../coordination/createTableReader.js";

/** Takes what a followed table says. */
export interface TableObserver {
    /**
     * All rows as of one moment: what is missing is gone.
     * @param isAfterRollback whether the store has lost recent writes, so that rows may be older than the known ones
     */
    replace(rows: readonly FeedRow[], isAfterRollback?: boolean): void;
    /**
     * Rows that changed.
     * @param storeFailedAt monotonic time at which the store last failed to answer the coordinator that has read them,
     * -Infinity if not lately; undefined if this process has read them itself
     */
    change(rows: readonly FeedRow[], storeFailedAt?: number): void;
}

/** How a table is followed. Times are in milliseconds. */
export interface WatchTiming {
    /**
     * How long one call waits for a change. It bounds how long a connection that has fallen silent stays unnoticed,
     * and each call has a price.
     */
    readonly waitMilliseconds: () => number;
    /** Pause after a change, so that changes in quick succession come as one answer. */
    readonly mergeMilliseconds: number;
    /** Delay before the full read after a store rollback; randomized so that processes don't all read at once. */
    readonly rereadDelayMilliseconds?: () => number;
}

/** What {@link watchTable} needs. */
export interface WatchTableOptions {
    readonly name: string;
    readonly feed: ChangeFeed;
    readonly observer: TableObserver;
    readonly timing: WatchTiming;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Told of each answer and each failure of the store, with the time the call took beyond its wait. */
    readonly onCall?: (isAnswered: boolean) => void;
    /** Called when the store was restored from an older snapshot. */
    readonly onRolledBack?: () => void;
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

/** A store rollback after which the table has not been read in full yet. */
interface Rollback {
    readonly fromEra: number;
    /** Monotonic time. */
    readonly detectedAt: number;
}

/** Follows one table until the signal is aborted: reads it whole, then takes its changes, and anew after a loss. */
export async function watchTable(options: WatchTableOptions, signal: AbortSignal): Promise<void> {
    const { feed, observer, timing, clock } = options;
    let position: StorePosition | undefined;
    let era: number | undefined;
    let rollback: Rollback | undefined;
    let retryMilliseconds = firstRetryMilliseconds;
    let isReachable = true;

    const noteRollback = (fromEra: number) => {
        rollback = { fromEra, detectedAt: clock.monotonicNow() };
        // Entries written after the snapshot are missing until rewritten; a reported failure makes them lapse as in an outage.
        options.onCall?.(false);
        options.onRolledBack?.();
    };

    const replaceRows = (page: FeedPage) => {
        observer.replace(page.rows, rollback !== undefined);
        if (rollback) {
            options.eventLog.record(EventKind.StoreRolledBack, {
                table: options.name,
                fromEra: rollback.fromEra,
                era,
                rows: page.rows.length,
                version: page.position.version,
                afterMilliseconds: Math.round(clock.monotonicNow() - rollback.detectedAt),
            });
            rollback = undefined;
        }
    };

    /** @returns the pause before the next call */
    const take = (page: RelayedPage): number => {
        const previousEra = era ?? page.position.era;
        if (page.position.era < previousEra) {
            // Ignores a late answer from before the rollback.
            return firstRetryMilliseconds;
        }
        era = page.position.era;
        if (era > previousEra) {
            noteRollback(previousEra);
        }
        if (page.isHistoryLost || position !== undefined && era > previousEra) {
            position = undefined;
            return era > previousEra ? timing.rereadDelayMilliseconds?.() ?? 0 : 0;
        }
        const isWhole = position === undefined;
        position = page.position;
        if (isWhole) {
            replaceRows(page);
        }
        else if (page.rows.length > 0) {
            observer.change(page.rows, page.storeFailedAt);
        }
        return page.rows.length > 0 ? timing.mergeMilliseconds : 0;
    };

    const noteReachable = (reachable: boolean, reason?: string) => {
        options.onCall?.(reachable);
        if (reachable !== isReachable) {
            isReachable = reachable;
            const kind = reachable ? EventKind.StoreAvailable : EventKind.StoreUnavailable;
            options.eventLog.record(kind, { table: options.name, reason, version: position?.version, era });
        }
    };

    const askStore = () => {
        const now = clock.monotonicNow();
        // The first call after a failure does not wait for changes, so that a rollback is detected at once.
        const wait = isReachable ? timing.waitMilliseconds() : 0;
        return position === undefined
            ? feed.readAll(now + readTimeoutMilliseconds)
            : feed.waitForChanges(position, wait, now + wait + answerSlackMilliseconds);
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
        options.reader?.noteAnswer(options.name, answer.value, position);
        retryMilliseconds = firstRetryMilliseconds;
        return take(answer.value);
    };

    /** Takes what coordinators pass on, if any does, for the time in which the store is not asked. */
    const takeRelayedUntil = async (until: number) => {
        while (position !== undefined && clock.monotonicNow() < until && !signal.aborted) {
            const relayed = await options.relay?.nextUntil(position, until, signal);
            if (!relayed) {
                return;
            }
            take(relayed);
        }
    };

    while (!signal.aborted) {
        const relayed = position === undefined ? undefined : await options.relay?.next(position, signal);
        if (relayed) {
            const pause = take(relayed);
            if (position === undefined) {
                await clock.sleepUntil(clock.monotonicNow() + pause, signal);
            }
        }
        else if (!signal.aborted) {
            const answer = await askStore();
            const nextAt = clock.monotonicNow() + takeAnswer(answer);
            if (answer.isErr) {
                await takeRelayedUntil(nextAt);
            }
            await clock.sleepUntil(nextAt, signal);
        }
    }
}
