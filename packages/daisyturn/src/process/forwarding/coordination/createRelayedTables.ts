import { type Clock, createSignal } from "daisyturn-utils";
import type { FeedPage } from "../../../ports/changeFeed.js";
import type { StorePosition } from "../../../ports/storePosition.js";
import type { CoordinatorState, RowsMessage, TableState } from "./messages/tableMessages.js";

/** Changes of one table of the store, as relayed by coordinators. */
export interface RelayedTable {
    /**
     * Waits for changes after a position, for as long as a coordinator reports a recent state of the table. Resolves
     * with undefined if no coordinator does, or if the changes it reports are unavailable; the caller then reads the
     * store. A page with `isHistoryLost` set means that a coordinator has seen a later era.
     */
    next(after: StorePosition, signal: AbortSignal): Promise<RelayedPage | undefined>;
    /**
     * Waits for changes that other coordinators have read, up to a monotonic time. For a process that the store does
     * not answer, even if it is itself a reader on which others rely.
     */
    nextUntil(after: StorePosition, until: number, signal: AbortSignal): Promise<RelayedPage | undefined>;
}

/** Rows relayed by a coordinator. */
export interface RelayedPage extends FeedPage {
    /**
     * Monotonic time at which the store last failed to answer the coordinator; -Infinity if not recently, absent
     * without rows.
     */
    readonly storeFailedAt?: number;
}

/** The tables that coordinators relay to one process. */
export interface RelayedTables {
    find(table: string): RelayedTable;
    applyState(state: CoordinatorState): void;
    applyRows(message: RowsMessage): void;
}

/** What {@link createRelayedTables} needs. */
export interface RelayedTablesOptions {
    readonly clock: Clock;
    /** A coordinator's state report is used for up to this time after the store last answered the coordinator. */
    readonly maxStateAgeMilliseconds: () => number;
    /** Whether this process always reads the store itself, because it relays the tables to others. */
    readonly isReader: () => boolean;
    /** Whether this process takes over the reads of the store from the coordinator. */
    readonly isStandby?: () => boolean;
}

/**
 * A standby uses a coordinator's report up to this fraction of its maximum age, so that it has read the store before
 * the members turn to the store, all at once. A coordinator's latest report is up to 0.83 of the maximum age old while
 * none is lost: one call to the store (two thirds) and the interval between two reports (a sixth).
 */
const standbyAgeFraction = 0.9;

/**
 * Interval at which a standby checks whether the coordinator has lost contact. Its own successor uses the reports for as
 * long as it does, and must not read the store at the same time.
 */
const standbyCheckMilliseconds = 250;
/**
 * A process that has read a table in full at its start waits up to this fraction of the maximum age of a report for the
 * first report of a coordinator. What it has read itself is as recent as such a report; the rest of the maximum age
 * covers the delay after a read that returned rows, which is a third of it.
 */
const firstReportFraction = 0.5;
/** Interval at which a process that waits for its first report checks whether it is a coordinator itself. */
const firstReportCheckMilliseconds = 100;
/** Missing rows may still be in transit; after this time they are read from the store. */
const missingMilliseconds = 60;
/** Maximum number of messages stored per table until they can be applied. */
const maxMessages = 16;

interface StateReport extends TableState {
    /** Monotonic time at which the store last answered the coordinator. */
    readonly storeAnsweredAt: number;
}

export function createRelayedTables(options: RelayedTablesOptions): RelayedTables {
    const { clock } = options;
    const reportsByTable = new Map<string, Map<string, StateReport>>();
    const messages = new Map<string, (RowsMessage & { readonly at: number; })[]>();
    const changed = createSignal();
    /** Monotonic time until which a first report is awaited, by table. */
    const awaitedUntil = new Map<string, number>();

    const computeMaxAge = () => options.maxStateAgeMilliseconds() * (options.isStandby?.() ? standbyAgeFraction : 1);

    /** Finds the most recent state report of a table within the latest era. */
    const findLatestReport = (table: string): StateReport | undefined => {
        const found = [...reportsByTable.get(table)?.values() ?? []];
        return found.sort((left, right) => right.era - left.era || right.storeAnsweredAt - left.storeAnsweredAt)[0];
    };

    const awaitFirstReport = async (table: string, signal: AbortSignal, isWaiting: () => boolean) => {
        const until = awaitedUntil.get(table)
            ?? clock.monotonicNow() + options.maxStateAgeMilliseconds() * firstReportFraction;
        awaitedUntil.set(table, until);
        while (!signal.aborted && isWaiting() && !reportsByTable.has(table) && clock.monotonicNow() < until) {
            await changed.wait(clock, Math.min(until, clock.monotonicNow() + firstReportCheckMilliseconds), signal);
        }
    };

    const dequeueRows = (table: string, { era, version }: StorePosition): RelayedPage | undefined => {
        const isAhead = (message: RowsMessage) => message.era > era || message.era === era && message.version > version;
        const applicable = messages.get(table)?.find(message =>
            message.era === era && message.afterVersion <= version && message.version > version
        );
        messages.set(table, (messages.get(table) ?? []).filter(message => isAhead(message) && message !== applicable));
        return applicable && {
            rows: applicable.rows,
            position: { era, version: applicable.version },
            isHistoryLost: false,
            storeFailedAt: applicable.failedAge === undefined ? -Infinity : applicable.at - applicable.failedAge,
        };
    };

    const next = async (
        table: string,
        after: StorePosition,
        signal: AbortSignal,
        isWaiting: () => boolean,
        until = Infinity,
    ): Promise<RelayedPage | undefined> => {
        const { era, version } = after;
        let missingSince: number | undefined;
        while (!signal.aborted && isWaiting()) {
            const rows = dequeueRows(table, after);
            if (rows) {
                return rows;
            }
            const report = findLatestReport(table);
            const staleAt = (report?.storeAnsweredAt ?? -Infinity) + computeMaxAge();
            const now = clock.monotonicNow();
            if (!report || staleAt <= now || report.era < era) {
                return undefined;
            }
            if (report.era > era) {
                return { rows: [], position: { era: report.era, version: 0 }, isHistoryLost: true };
            }
            if (report.changedVersion <= version && report.version > version) {
                return { rows: [], position: { era, version: report.version }, isHistoryLost: false };
            }
            const isMissing = report.changedVersion > version;
            missingSince = isMissing ? missingSince ?? now : undefined;
            if (missingSince !== undefined && now - missingSince >= missingMilliseconds) {
                return undefined;
            }
            const lookAt = options.isStandby?.() ? now + standbyCheckMilliseconds : Infinity;
            const wakeAt = missingSince === undefined ? Math.min(staleAt, lookAt) : missingSince + missingMilliseconds;
            await changed.wait(clock, Math.min(wakeAt, until), signal);
        }
        return undefined;
    };

    return {
        find: table => ({
            next: async (after, signal) => {
                await awaitFirstReport(table, signal, () => !options.isReader());
                return next(table, after, signal, () => !options.isReader());
            },
            nextUntil: (after, until, signal) => next(table, after, signal, () => clock.monotonicNow() < until, until),
        }),
        applyState: ({ from, tables }) => {
            for (const state of tables) {
                const byCoordinator = reportsByTable.get(state.table) ?? new Map<string, StateReport>();
                reportsByTable.set(state.table, byCoordinator);
                byCoordinator.set(from, { ...state, storeAnsweredAt: clock.monotonicNow() - state.age });
            }
            changed.raise();
        },
        applyRows: message => {
            const stored = [...messages.get(message.table) ?? [], { ...message, at: clock.monotonicNow() }];
            messages.set(message.table, stored.slice(-maxMessages));
            changed.raise();
        },
    };
}
