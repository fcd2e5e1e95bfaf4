import { type Clock, createSignal, type Random } from "daisyturn-utils";
import { absentVersion, type Row, type TableService, TransactionOutcome } from "../../ports/tableService.js";
import type { TargetList } from "../forwarding/targets/createTargetList.js";
import type { StreamOrigins } from "./createStreamOrigins.js";
import { decodeVersions, encodeVersions, listVersions, mergeVersions, type StoredVersions } from "./storedVersions.js";

/**
 * The software versions that targets of each service have had, in the store. It outlasts all processes, so that those
 * that start anew know which versions may have begun a stream.
 */
export interface VersionRecord {
    /** Lists the versions that may have begun a stream of a service that is still resumed, as last read. */
    list(service: string): readonly string[];
    /** Whether the record reaches back as far as callers resume streams, as last read. */
    isComplete(): boolean;
    /** The longest time, in milliseconds, for which callers of the fleet resume streams. */
    longestLifetime(): number;
    /** Reads the record. @returns whether the store has answered */
    confirm(): Promise<boolean>;
    /** Keeps the record up to date until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

/** What {@link createVersionRecord} needs. */
export interface VersionRecordOptions {
    readonly tableService: TableService;
    readonly targets: Pick<TargetList, "isKnown" | "listVersions" | "onVersionsChanged">;
    readonly origins: Pick<StreamOrigins, "longestLifetime" | "onRecorded">;
    /** Unique among all processes and starts. */
    readonly writerId: string;
    readonly clock: Clock;
    readonly random: Random;
}

const rowKey = "software_versions";
/** An answer this old serves the calls that arrive together, in milliseconds. */
const maxAnswerAgeMilliseconds = 100;
const callTimeoutMilliseconds = 300;
/** All processes see a change at once. They write it after random delays, so that most find it recorded. */
const maxWriteDelayMilliseconds = 250;
const retryMilliseconds = 1_000;
/** The record is compared this often without a change, which needs no call while it is up to date. */
const maxCheckMilliseconds = 60_000;
/** Lifetimes are recorded as powers of two, so that the row does not change with each call. */
const minLifetimeMilliseconds = 10_000;

/** Creates the record as one process sees it. */
export function createVersionRecord(options: VersionRecordOptions): VersionRecord {
    const { tableService, targets, origins, clock, random } = options;
    let stored: StoredVersions | undefined;
    /** Monotonic time at which the last answered read began. */
    let readAt = -Infinity;
    let reading: Promise<Row | undefined | false> | undefined;
    let writes = 0;
    const changed = createSignal();

    targets.onVersionsChanged(changed.raise);
    origins.onRecorded(() => {
        if (roundLifetime(origins.longestLifetime()) > (stored?.longestLifetime ?? 0)) {
            changed.raise();
        }
    });

    /** @returns the row, undefined if it is absent, and false if the store has not answered */
    const readOnce = async (): Promise<Row | undefined | false> => {
        const startedAt = clock.monotonicNow();
        const rows = await tableService.read([rowKey], startedAt + callTimeoutMilliseconds);
        if (rows.isErr) {
            return false;
        }
        const [row] = rows.value;
        readAt = startedAt;
        stored = decodeVersions(row?.value);
        return row;
    };

    const read = () =>
        reading ??= readOnce().finally(() => {
            reading = undefined;
        });

    const merge = (): StoredVersions =>
        mergeVersions(
            stored,
            targets.listVersions(),
            roundLifetime(origins.longestLifetime()),
            Math.round(clock.wallNow()),
        );

    const isUpToDate = () => stored !== undefined && merge() === stored;

    /** @returns whether the record agrees with what this process sees */
    const update = async (): Promise<boolean> => {
        const row = await read();
        if (row === false || isUpToDate()) {
            return row !== false;
        }
        const merged = merge();
        const answer = await tableService.transact({
            writeId: `${options.writerId}-versions-${++writes}`,
            conditions: [{ key: rowKey, expectedVersion: row?.version ?? absentVersion }],
            writes: [{ key: rowKey, value: encodeVersions(merged) }],
        }, clock.monotonicNow() + callTimeoutMilliseconds);
        if (answer.outcome === TransactionOutcome.Committed) {
            stored = merged;
        }
        return isUpToDate();
    };

    return {
        list: service => stored ? listVersions(stored, service, clock.wallNow()) : [],
        isComplete: () => stored !== undefined && clock.wallNow() - stored.since >= stored.longestLifetime,
        longestLifetime: () => Math.max(stored?.longestLifetime ?? 0, origins.longestLifetime()),
        confirm: async () => clock.monotonicNow() - readAt <= maxAnswerAgeMilliseconds || await read() !== false,
        run: async signal => {
            while (!signal.aborted) {
                if (targets.isKnown() && !isUpToDate()) {
                    await clock.sleepUntil(
                        clock.monotonicNow() + random.fraction() * maxWriteDelayMilliseconds,
                        signal,
                    );
                    if (!signal.aborted && !await update()) {
                        await clock.sleepUntil(clock.monotonicNow() + retryMilliseconds, signal);
                    }
                    // More may have changed in the meantime.
                    continue;
                }
                await changed.wait(clock, clock.monotonicNow() + maxCheckMilliseconds, signal);
            }
        },
    };
}

function roundLifetime(milliseconds: number): number {
    return minLifetimeMilliseconds * 2 ** Math.ceil(Math.log2(Math.max(1, milliseconds / minLifetimeMilliseconds)));
}
