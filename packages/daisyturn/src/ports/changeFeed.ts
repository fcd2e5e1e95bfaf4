import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { StorePosition } from "./storePosition.js";

/** A row as the store holds it; its text is undefined once the row was removed. */
export interface FeedRow {
    readonly key: string;
    readonly version: number;
    readonly text: string | undefined;
}

/** Rows, and the store position at which they were read. */
export interface FeedPage {
    readonly rows: readonly FeedRow[];
    readonly position: StorePosition;
    /** Whether the store has dropped the changes that were asked for; then `rows` is empty. */
    readonly isHistoryLost: boolean;
}

/** A table of the platform's store that others write and this process follows. Only an adapter knows the wire. */
export abstract class ChangeFeed {
    /** Reads every row. */
    abstract readAll(deadline: number): Promise<Result<FeedPage, Failure>>;
    /** Waits for changes after a position; an empty page where none came within `waitMilliseconds`. */
    abstract waitForChanges(
        after: StorePosition,
        waitMilliseconds: number,
        deadline: number,
    ): Promise<Result<FeedPage, Failure>>;
}
