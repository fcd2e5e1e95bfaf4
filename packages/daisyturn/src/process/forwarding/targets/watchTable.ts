import { type Clock, EventKind, type EventLog, type Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { ChangeFeed, FeedPage, FeedRow } from "../../../ports/changeFeed.js";
import type { StorePosition } from "../../../ports/storePosition.js";
import type { TableConfirmation } from "../../accounts/createTableConfirmation.js";
import type { RelayedPage, RelayedTable } from "../coordination/createRelayedTables.js";
import type { TableReader } from "../coordination/createTableReader.js";

/** Receives the contents and changes of a watched table. */
export interface TableObserver {
    /**
     * Receives all rows as of one time; rows that are missing have been removed.
     * @param isAfterRollback whether the store has lost recent writes, so that rows may be older than the known ones
     */
    replace(rows: readonly FeedRow[], isAfterRollback?: boolean): void;
    /**
     * Receives the rows that changed.
     * @param storeFailedAt monotonic time at which the store last failed to answer the coordinator that has read them,
     * -Infinity if it has not failed recently; undefined if this process has read them itself
     */
    change(rows: readonly FeedRow[], storeFailedAt?: number): void;
}

/** Timing of a watch. Times are in milliseconds. */
export interface WatchTiming {
    /**
     * How long one call waits for a change. A longer wait delays the detection of a silent connection; a shorter one
     * adds calls, and each call has a cost.
     */
    readonly waitMilliseconds: () => number;
    /** Delay after a change, so that changes in quick succession arrive in one answer. */
    readonly mergeMilliseconds: number;
    /**
     * Whether other processes rely on the store's answers to this one, and turn to the store when the last answer grows
     * old. The wait of a call then includes the delay after a change, and the first call after a coordinator's reports
     * have ended is answered at once.
     */
    readonly isReader?: () => boolean;
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
    /** Called after each call to the store with whether it was answered, and with false after a store rollback. */
    readonly onCall?: (isAnswered: boolean) => void;
    /** Learns when the table was last known to be complete. */
    readonly confirmation?: Pick<TableConfirmation, "recordAnswer" | "beginRelay">;
    /** Called when the store was restored from an older snapshot. */
    readonly onRolledBack?: () => void;
    /** Changes relayed by another process; while it relays them, the store is not called. */
    readonly relay?: RelayedTable;
    /** Receives the store's answers, to relay them to other processes. */
    readonly reader?: Pick<TableReader, "recordAnswer" | "recordFailure" | "recordFollowed" | "recordRelayed">;
}

/** Time that a call may take beyond its wait before its connection counts as silent. */
const answerSlackMilliseconds = 500;
const readTimeoutMilliseconds = 1_000;
/** First and maximum delay after a failed call; the delay doubles with each consecutive failure. */
const firstRetryMilliseconds = 250;
const maxRetryMilliseconds = 1_200;

/**
 * Answers without rows that come well before the end of their wait, one after another, without a delay between the calls.
 * A store that answers all calls at once would otherwise be called without end.
 */
const maxEarlyAnswers = 2;

/** A relay that ends sooner without rows had no recent report to follow. */
const minRelayMilliseconds = 20;

/** A store rollback after which the table has not been read in full yet. */
interface Rollback {
    readonly fromEra: number;
    /** Monotonic time. */
    readonly detectedAt: number;
}

/**
 * Watches one table until the signal is aborted: reads it in full, then its changes, and in full again after a loss.
 */
export async function watchTable(options: WatchTableOptions, signal: AbortSignal): Promise<void> {
    const { feed, observer, timing, clock } = options;
    let position: StorePosition | undefined;
    let era: number | undefined;
    let rollback: Rollback | undefined;
    let retryMilliseconds = firstRetryMilliseconds;
    let isReachable = true;
    let earlyAnswers = 0;
    /** Monotonic time before which an answer without rows is early. */
    let expectedAt = -Infinity;
    /** Whether a coordinator's reports were followed since the last call to the store. */
    let isResuming = false;
    /** Monotonic time. */
    let answeredAt = -Infinity;

    const recordRollback = (fromEra: number) => {
        rollback = { fromEra, detectedAt: clock.monotonicNow() };
        // Entries written after the snapshot are missing until rewritten. Reporting a failed call gives them the same
        // grace time as after an outage.
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

    /** @returns the delay before the next call, in milliseconds */
    const applyPage = (page: RelayedPage): number => {
        const previousEra = era ?? page.position.era;
        if (page.position.era < previousEra) {
            // Ignores a late answer from before the rollback.
            return firstRetryMilliseconds;
        }
        era = page.position.era;
        if (era > previousEra) {
            recordRollback(previousEra);
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

    const recordReachability = (reachable: boolean, reason?: string) => {
        options.onCall?.(reachable);
        if (reachable !== isReachable) {
            isReachable = reachable;
            const kind = reachable ? EventKind.StoreAvailable : EventKind.StoreUnavailable;
            options.eventLog.record(kind, { table: options.name, reason, version: position?.version, era });
        }
    };

    const computeWait = () => {
        if (!isReachable) {
            // The first call after a failure does not wait for changes, so that a rollback is detected at once.
            return 0;
        }
        if (isResuming && timing.isReader?.()) {
            return 0;
        }
        const delay = timing.isReader?.() ? Math.min(timing.mergeMilliseconds, clock.monotonicNow() - answeredAt) : 0;
        return Math.max(0, timing.waitMilliseconds() - delay);
    };

    const requestPage = () => {
        const now = clock.monotonicNow();
        const wait = computeWait();
        expectedAt = position === undefined ? -Infinity : now + wait / 2;
        return position === undefined
            ? feed.readAll(now + readTimeoutMilliseconds)
            : feed.waitForChanges(position, wait, now + wait + answerSlackMilliseconds);
    };

    /** Counts answers that come early and returns the delay that they cause. A full read leaves the count as it is. */
    const computeEarlyDelay = (page: FeedPage): number => {
        if (position === undefined) {
            return 0;
        }
        earlyAnswers = page.rows.length === 0 && answeredAt < expectedAt ? earlyAnswers + 1 : 0;
        const excess = earlyAnswers - maxEarlyAnswers;
        return excess > 0 ? Math.min(maxRetryMilliseconds, firstRetryMilliseconds * 2 ** (excess - 1)) : 0;
    };

    /** @returns the delay before the next call, in milliseconds */
    const applyAnswer = (answer: Result<FeedPage, Failure>): number => {
        const isResumed = isResuming;
        isResuming = false;
        recordReachability(answer.isOk, answer.isErr ? answer.error.message : undefined);
        if (answer.isErr) {
            options.reader?.recordFailure(options.name);
            const delay = retryMilliseconds;
            retryMilliseconds = Math.min(maxRetryMilliseconds, retryMilliseconds * 2);
            return delay;
        }
        answeredAt = clock.monotonicNow();
        const earlyDelay = computeEarlyDelay(answer.value);
        options.reader?.recordAnswer(options.name, answer.value, position, isResumed);
        options.confirmation?.recordAnswer();
        retryMilliseconds = firstRetryMilliseconds;
        return Math.max(earlyDelay, applyPage(answer.value));
    };

    /** Applies changes that coordinators relay, if any, while the store is not called. */
    const applyRelayedUntil = async (until: number) => {
        while (position !== undefined && clock.monotonicNow() < until && !signal.aborted) {
            const relayed = await options.relay?.nextUntil(position, until, signal);
            if (!relayed) {
                return;
            }
            options.reader?.recordRelayed(options.name, relayed);
            applyPage(relayed);
        }
    };

    const followRelay = async (after: StorePosition) => {
        const endRelay = options.confirmation?.beginRelay();
        const startedAt = clock.monotonicNow();
        const page = await options.relay?.next(after, signal);
        const wasFollowed = page !== undefined || clock.monotonicNow() - startedAt >= minRelayMilliseconds;
        endRelay?.(wasFollowed);
        if (wasFollowed) {
            isResuming = true;
            options.reader?.recordFollowed(options.name);
        }
        if (page) {
            options.reader?.recordRelayed(options.name, page);
        }
        return page;
    };

    while (!signal.aborted) {
        const relayed = position === undefined ? undefined : await followRelay(position);
        if (relayed) {
            const delay = applyPage(relayed);
            if (position === undefined) {
                await clock.sleepUntil(clock.monotonicNow() + delay, signal);
            }
        }
        else if (!signal.aborted) {
            const answer = await requestPage();
            const nextAt = clock.monotonicNow() + applyAnswer(answer);
            if (answer.isErr) {
                await applyRelayedUntil(nextAt);
            }
            await clock.sleepUntil(nextAt, signal);
        }
    }
}
