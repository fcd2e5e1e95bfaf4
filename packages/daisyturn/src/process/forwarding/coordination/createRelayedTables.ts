import { type Clock, createSignal } from "daisyturn-utils";
import type { FeedPage } from "../../../ports/changeFeed.js";
import type { StorePosition } from "../../../ports/storePosition.js";
import type { CoordinatorState, RowsMessage, TableState } from "./messages/tableMessages.js";

/** News of one table of the store, as coordinators pass it on. */
export interface RelayedTable {
    /**
     * Waits for changes after a position, for as long as a coordinator reports a recent state of the table. Resolves with
     * undefined if no coordinator does, or if the changes it reports are unavailable; the caller then reads the store. A page
     * with `isHistoryLost` set means that a coordinator has seen a later era.
     */
    next(after: StorePosition, signal: AbortSignal): Promise<RelayedPage | undefined>;
    /**
     * The same for a process that the store does not answer, which may be one that others rely on: waits for changes that
     * other coordinators have read, up to a monotonic time.
     */
    nextUntil(after: StorePosition, until: number, signal: AbortSignal): Promise<RelayedPage | undefined>;
}

/** Rows that a coordinator has passed on. */
export interface RelayedPage extends FeedPage {
    /** Monotonic time at which the store last failed to answer the coordinator; -Infinity if not lately, absent without rows. */
    readonly storeFailedAt?: number;
}

/** The tables that coordinators pass on to one process. */
export interface RelayedTables {
    find(table: string): RelayedTable;
    applyState(state: CoordinatorState): void;
    applyRows(message: RowsMessage): void;
}

/** What {@link createRelayedTables} needs. */
export interface RelayedTablesOptions {
    readonly clock: Clock;
    /** Longest time since the store has answered a coordinator for which its word holds, in milliseconds. */
    readonly maxStateAgeMilliseconds: () => number;
    /** Whether this process asks the store itself in any case, since others go by its word. */
    readonly isReader: () => boolean;
}

/** Rows that are missing may be on their way; after this the store is asked for them. */
const missingMilliseconds = 60;
/** Messages kept that can't be taken yet. */
const maxMessages = 16;

interface StateReport extends TableState {
    /** Monotonic time at which the store last answered the coordinator. */
    readonly storeAnsweredAt: number;
}

/** Creates the tables of one process. */
export function createRelayedTables(options: RelayedTablesOptions): RelayedTables {
    const { clock } = options;
    const reportsByTable = new Map<string, Map<string, StateReport>>();
    const messages = new Map<string, (RowsMessage & { readonly at: number; })[]>();
    const news = createSignal();

    /** Finds the most recent state report of a table within the latest era. */
    const findLatestReport = (table: string): StateReport | undefined => {
        const found = [...reportsByTable.get(table)?.values() ?? []];
        return found.sort((left, right) => right.era - left.era || right.storeAnsweredAt - left.storeAnsweredAt)[0];
    };

    const dequeueRows = (table: string, { era, version }: StorePosition): RelayedPage | undefined => {
        const isAhead = (message: RowsMessage) => message.era > era || message.era === era && message.version > version;
        const fitting = messages.get(table)?.find(message =>
            message.era === era && message.afterVersion <= version && message.version > version
        );
        messages.set(table, (messages.get(table) ?? []).filter(message => isAhead(message) && message !== fitting));
        return fitting && {
            rows: fitting.rows,
            position: { era, version: fitting.version },
            isHistoryLost: false,
            storeFailedAt: fitting.failedAge === undefined ? -Infinity : fitting.at - fitting.failedAge,
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
            const vouch = findLatestReport(table);
            const staleAt = (vouch?.storeAnsweredAt ?? -Infinity) + options.maxStateAgeMilliseconds();
            const now = clock.monotonicNow();
            if (!vouch || staleAt <= now || vouch.era < era) {
                return undefined;
            }
            if (vouch.era > era) {
                return { rows: [], position: { era: vouch.era, version: 0 }, isHistoryLost: true };
            }
            if (vouch.changedVersion <= version && vouch.version > version) {
                return { rows: [], position: { era, version: vouch.version }, isHistoryLost: false };
            }
            const isMissing = vouch.changedVersion > version;
            missingSince = isMissing ? missingSince ?? now : undefined;
            if (missingSince !== undefined && now - missingSince >= missingMilliseconds) {
                return undefined;
            }
            const wakeAt = missingSince === undefined ? staleAt : missingSince + missingMilliseconds;
            await news.wait(clock, Math.min(wakeAt, until), signal);
        }
        return undefined;
    };

    return {
        find: table => ({
            next: (after, signal) => next(table, after, signal, () => !options.isReader()),
            nextUntil: (after, until, signal) => next(table, after, signal, () => clock.monotonicNow() < until, until),
        }),
        applyState: ({ from, tables }) => {
            for (const state of tables) {
                const byCoordinator = reportsByTable.get(state.table) ?? new Map<string, StateReport>();
                reportsByTable.set(state.table, byCoordinator);
                byCoordinator.set(from, { ...state, storeAnsweredAt: clock.monotonicNow() - state.age });
            }
            news.raise();
        },
        applyRows: message => {
            const kept = [...messages.get(message.table) ?? [], { ...message, at: clock.monotonicNow() }];
            messages.set(message.table, kept.slice(-maxMessages));
            news.raise();
        },
    };
}
