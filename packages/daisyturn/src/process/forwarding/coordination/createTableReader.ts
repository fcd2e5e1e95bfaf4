import type { Clock } from "daisyturn-utils";
import type { FeedPage } from "../../../ports/changeFeed.js";
import type { StorePosition } from "../../../ports/storePosition.js";
import type { RowsMessage, TableState } from "./messages/tableMessages.js";

/** Tracks the tables that this process reads from the store itself, so that they can be relayed to other processes. */
export interface TableReader {
    /**
     * Records an answer of the store.
     * @param after undefined if the table was read in full
     * @param isResumed whether this process followed a coordinator's reports of the table before
     */
    recordAnswer(table: string, page: FeedPage, after: StorePosition | undefined, isResumed?: boolean): void;
    recordFailure(table: string): void;
    /** Records that a coordinator's reports of the table were followed until now, in place of reading the store. */
    recordFollowed(table: string): void;
    /** Records rows that a coordinator has relayed: this process relays changes after them if it reads the table next. */
    recordRelayed(table: string, page: FeedPage): void;
    listStates(): readonly TableState[];
    /**
     * Whether the store fails and has answered no read of this process for some time. Rows that other processes relay
     * meanwhile change nothing in this.
     */
    isLost(): boolean;
    /** Registers a listener that is called with changed rows. */
    onRows(listener: (message: Omit<RowsMessage, "from">) => void): void;
    /** Registers a listener that is called when this process reads a table again after following a coordinator. */
    onResumed(listener: () => void): void;
}

/** A failure of the store longer ago than this no longer explains the removal of a row. */
const recentFailureMilliseconds = 5_000;

/** Longer than the losses of single answers, and shorter than a lease. */
const lostMilliseconds = 1_500;

interface KnownTable {
    changedVersion: number;
    position: StorePosition;
    /** Monotonic time of the store's last answer. */
    answeredAt: number;
    /** Monotonic time until which a coordinator's reports were followed. */
    followedAt: number;
    /** Monotonic time of the store's last failure, or of the first answer after it: an outage may have lasted until then. */
    failedAt: number;
    isFailing: boolean;
}

export function createTableReader(clock: Clock): TableReader {
    const tables = new Map<string, KnownTable>();
    const listeners: ((message: Omit<RowsMessage, "from">) => void)[] = [];
    const resumedListeners: (() => void)[] = [];

    const find = (table: string): KnownTable => {
        let known = tables.get(table);
        if (!known) {
            known = {
                changedVersion: 0,
                position: { era: 0, version: 0 },
                answeredAt: -Infinity,
                followedAt: -Infinity,
                failedAt: -Infinity,
                isFailing: false,
            };
            tables.set(table, known);
        }
        return known;
    };

    const notifyListeners = (table: string, page: FeedPage, after: StorePosition) => {
        const failedAge = clock.monotonicNow() - find(table).failedAt;
        const message = {
            table,
            era: page.position.era,
            afterVersion: after.version,
            version: page.position.version,
            rows: page.rows,
            ...(failedAge < recentFailureMilliseconds && { failedAge: Math.round(failedAge) }),
        };
        listeners.forEach(listener => listener(message));
    };

    return {
        recordAnswer: (table, page, after, isResumed = false) => {
            if (after && after.era !== page.position.era) {
                // Changes of another era cannot be applied to the known rows; the table is re-read in full.
                return;
            }
            const known = find(table);
            known.answeredAt = clock.monotonicNow();
            if (known.isFailing) {
                known.isFailing = false;
                known.failedAt = known.answeredAt;
            }
            if (page.isHistoryLost) {
                return;
            }
            known.position = page.position;
            if (after === undefined || page.rows.length > 0) {
                known.changedVersion = page.position.version;
            }
            if (after !== undefined && page.rows.length > 0) {
                notifyListeners(table, page, after);
            }
            if (isResumed) {
                resumedListeners.forEach(listener => listener());
            }
        },
        recordFailure: table => {
            const known = find(table);
            known.failedAt = clock.monotonicNow();
            known.isFailing = true;
        },
        recordFollowed: table => {
            find(table).followedAt = clock.monotonicNow();
        },
        recordRelayed: (table, { rows, position }) => {
            if (rows.length > 0) {
                find(table).changedVersion = position.version;
            }
        },
        listStates: () => {
            const now = clock.monotonicNow();
            return [...tables]
                .filter(([, { answeredAt }]) => answeredAt > -Infinity)
                .map(([table, { changedVersion, position, answeredAt }]) => ({
                    table,
                    ...position,
                    changedVersion,
                    age: Math.round(now - answeredAt),
                }));
        },
        isLost: () => {
            const known = [...tables.values()];
            const lostSince = clock.monotonicNow() - lostMilliseconds;
            return known.length > 0
                && known.every(({ isFailing, answeredAt, followedAt }) =>
                    isFailing && Math.max(answeredAt, followedAt) < lostSince
                );
        },
        onRows: listener => void listeners.push(listener),
        onResumed: listener => void resumedListeners.push(listener),
    };
}
