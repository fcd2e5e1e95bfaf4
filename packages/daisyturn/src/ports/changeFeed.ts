import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { StorePosition } from "./storePosition.js";

/** A stored row. Its text is undefined if the row was removed. */
export interface FeedRow {
    readonly key: string;
    readonly version: number;
    readonly text: string | undefined;
}

/** Rows and the store position at which they were read. */
export interface FeedPage {
    readonly rows: readonly FeedRow[];
    readonly position: StorePosition;
    /** Whether the store no longer has the requested changes. If so, `rows` is empty. */
    readonly isHistoryLost: boolean;
}

/** A table of the platform's store that others write and this process watches. Adapters implement the protocol. */
export abstract class ChangeFeed {
    /** Reads every row. */
    abstract readAll(deadline: number): Promise<Result<FeedPage, Failure>>;
    /** Waits for changes after a position. Returns an empty page if there are none within `waitMilliseconds`. */
    abstract waitForChanges(
        after: StorePosition,
        waitMilliseconds: number,
        deadline: number,
    ): Promise<Result<FeedPage, Failure>>;
}
