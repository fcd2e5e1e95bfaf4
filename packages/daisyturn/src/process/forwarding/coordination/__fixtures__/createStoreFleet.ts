import { type Failure, FailureReason, FakeClock, mayHaveRun, MemoryEventLog } from "daisyturn-utils";
import { setMaxListeners } from "node:events";
import { err, ok, type Result } from "true-myth/result";
import { ChangeFeed, type FeedPage, type FeedRow } from "../../../../ports/changeFeed.js";
import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";
import type { StorePosition } from "../../../../ports/storePosition.js";
import { watchTable, type WatchTiming } from "../../targets/watchTable.js";
import type { Coordination } from "../coordinate.js";
import { createFleet, rowsPerPage } from "./createFleet.js";

/** Requests to the store by kind. */
export interface StoreRequests {
    /** Pages of reads of a whole table. */
    readonly pages: number;
    /** Calls that wait for changes. */
    readonly feeds: number;
    /** Pages and writes of the registry. */
    readonly registry: number;
}

/** Timing as `startTableWatches` sets it for a time to apply of 3,000 ms and a contact time of 4,000 ms. */
const ownWaitMilliseconds = 2_800;
const readerWaitMilliseconds = 1_500;
const mergeMilliseconds = 750;
const maxStateAgeMilliseconds = 2_250;
/** Time that the store takes for one request. */
const requestMilliseconds = 4;

/** Names of the watched tables, and how many rows each has. */
const tableRows = { configuration: 1, targets: 103 };
export type TableName = keyof typeof tableRows;

/** Creates a fleet whose processes also watch the tables of a store that counts its requests. */
export function createStoreFleet(count: number, zones: number) {
    const clock = new FakeClock();
    const requests = { pages: 0, feeds: 0 };
    const feedsBy = new Map<string, number>();
    const history: (FeedRow & { readonly table: TableName; })[] = [];
    let version = 1;
    let isStoreReachable: (self: RegisteredPeer) => boolean = () => true;
    /** Contents of the changed rows at each process, by table and key. */
    const applied = new Map<string, Map<string, string | undefined>>();

    const changesAfter = (table: TableName, after: number) =>
        history.filter(row => row.table === table && row.version > after);
    const refusal = mayHaveRun(FailureReason.StoreUnavailable, "the store is unreachable");

    const createFeed = (self: RegisteredPeer, table: TableName) => {
        class CountedFeed extends ChangeFeed {
            override async readAll(): Promise<Result<FeedPage, Failure>> {
                const position = { era: 1, version };
                const pages = Math.ceil(tableRows[table] / rowsPerPage);
                requests.pages += pages;
                await clock.sleepUntil(clock.monotonicNow() + pages * requestMilliseconds);
                const rows = [...new Map(changesAfter(table, 0).map(row => [row.key, row])).values()];
                return isStoreReachable(self) ? ok({ rows, position, isHistoryLost: false }) : err(refusal);
            }

            override async waitForChanges(
                { version: after }: StorePosition,
                wait: number,
            ): Promise<Result<FeedPage, Failure>> {
                requests.feeds += 1;
                feedsBy.set(self.peerId, (feedsBy.get(self.peerId) ?? 0) + 1);
                const until = clock.monotonicNow() + wait;
                while (changesAfter(table, after).length === 0 && clock.monotonicNow() < until) {
                    await clock.sleepUntil(Math.min(until, clock.monotonicNow() + 20));
                }
                await clock.sleepUntil(clock.monotonicNow() + requestMilliseconds);
                const page = { rows: changesAfter(table, after), position: { era: 1, version }, isHistoryLost: false };
                return isStoreReachable(self) ? ok(page) : err(refusal);
            }
        }
        return new CountedFeed();
    };

    const watch = (self: RegisteredPeer, coordination: Coordination, signal: AbortSignal) => {
        // Each task of a process adds one listener.
        setMaxListeners(20, signal);
        const contents = new Map<string, string | undefined>();
        applied.set(self.peerId, contents);
        const timing: WatchTiming = {
            waitMilliseconds: () => coordination.isReader() ? readerWaitMilliseconds : ownWaitMilliseconds,
            mergeMilliseconds,
            isReader: coordination.isReader,
        };
        for (const name of Object.keys(tableRows) as TableName[]) {
            const apply = (rows: readonly FeedRow[]) =>
                rows.forEach(({ key, text }) => contents.set(`${name}/${key}`, text));
            void watchTable({
                name,
                feed: createFeed(self, name),
                observer: { replace: apply, change: apply },
                timing,
                clock,
                eventLog: new MemoryEventLog(),
                relay: coordination.relayedTable(name),
                reader: coordination.tableReader,
            }, signal);
        }
    };

    const fleet = createFleet(count, zones, 4, ["v1"], { clock, maxStateAgeMilliseconds, onStarted: watch });
    return {
        ...fleet,
        put: (table: TableName, key: string, text: string) => {
            version += 1;
            history.push({ table, key, version, text });
        },
        /** Sets which processes reach the tables. */
        setStore: (isReachable: (self: RegisteredPeer) => boolean) => {
            isStoreReachable = isReachable;
        },
        /** Returns a row as a process knows it. */
        read: (peerId: string, table: TableName, key: string) => applied.get(peerId)?.get(`${table}/${key}`),
        requests: (): StoreRequests => ({ ...requests, registry: fleet.counts().registryRequests }),
        feedsBy: (peerId: string) => feedsBy.get(peerId) ?? 0,
    };
}

export type StoreFleet = ReturnType<typeof createStoreFleet>;
