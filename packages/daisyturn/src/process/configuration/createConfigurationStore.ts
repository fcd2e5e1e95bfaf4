import type { Clock, Failure } from "daisyturn-utils";
import { Result } from "true-myth/result";
import { absentVersion, type Row, type TransactionAnswer } from "../../ports/tableService.js";
import type { AcceptedChange } from "../../version/configurationChange.js";
import type { ConfigurationItem } from "../../version/configurationItems.js";
import { createConfigurationVersion, type IndexedVersion } from "../../version/createConfigurationVersion.js";
import { type StoreClient, StorePriority } from "../store/index.js";
import {
    changeKey,
    type CommitBasis,
    createCancelTransaction,
    createChangeTransaction,
    headKey,
    type HeadValue,
    itemPrefix,
    readRowValue,
    writeKey,
    type WriteValue,
} from "./configurationRows.js";

/** Changes read in one call to the store. */
const changesPerRead = 100;
/** A process that is more generations behind than this reads all items instead of the missing changes. */
const maxChangesToApply = 400;

/** The head of the store, and the row of a write id if it exists. */
export interface StoreState extends CommitBasis {
    readonly write?: WriteValue;
}

/** A version read from the store, with the changes that led to it if they were read. */
export interface NewestVersion {
    readonly version: IndexedVersion;
    readonly changes: readonly AcceptedChange[];
}

/** Access to the configuration in the table service. */
export interface ConfigurationStore {
    /** @param expectedHead the active generation; the change that the next commit would prune is read as well */
    readState(
        partner: string,
        writeId: string,
        expectedHead: number,
        deadline: number,
    ): Promise<Result<StoreState, Failure>>;
    readGeneration(deadline: number): Promise<Result<number, Failure>>;
    /** The version at the head of the store, built from `from` and the changes since, or from all items. */
    readNewest(from: IndexedVersion, deadline: number): Promise<Result<NewestVersion, Failure>>;
    /** The changes of the given generations, in the same order. Changes that have been pruned are omitted. */
    readChanges(generations: readonly number[], deadline: number): Promise<Result<readonly AcceptedChange[], Failure>>;
    commit(
        transactionId: string,
        change: AcceptedChange,
        basis: CommitBasis,
        deadline: number,
    ): Promise<TransactionAnswer>;
    /** Cancels a write id, so that a change sent under it and not yet committed can no longer be committed. */
    cancel(transactionId: string, partner: string, writeId: string, deadline: number): Promise<TransactionAnswer>;
}

export interface ConfigurationStoreOptions {
    readonly storeClient: StoreClient;
    readonly clock: Clock;
    /** How many changes are retained, with their write ids. */
    readonly retainedChanges: number;
    /** Time limit for reading all items, which takes longer than any other call. */
    readonly itemsMilliseconds: number;
}

/** Creates the access to the rows of the configuration. */
export function createConfigurationStore(options: ConfigurationStoreOptions): ConfigurationStore {
    const { storeClient, clock, retainedChanges } = options;
    const read = (keys: readonly string[], deadline: number) => storeClient.read(keys, StorePriority.Other, deadline);

    const readState = async (partner: string, writeId: string, expectedHead: number, deadline: number) => {
        const pruneKey = changeKey(expectedHead + 1 - retainedChanges);
        const ownWriteKey = writeKey(partner, writeId);
        const keys = [headKey, ownWriteKey, ...(expectedHead >= retainedChanges ? [pruneKey] : [])];
        const rows = await read(keys, deadline);
        return rows.map((found): StoreState => {
            const head = found.find(row => row.key === headKey);
            const write = found.find(row => row.key === ownWriteKey);
            const pruned = found.find(row => row.key === pruneKey);
            return {
                headVersion: head?.version ?? absentVersion,
                generation: generationOf(head),
                ...(write && { write: readRowValue<WriteValue>(write) }),
                ...(pruned && { pruned: readRowValue<AcceptedChange>(pruned) }),
            };
        });
    };

    const readGeneration = async (deadline: number) => {
        const rows = await read([headKey], deadline);
        return rows.map(found => generationOf(found[0]));
    };

    const readChanges = async (generations: readonly number[], deadline: number) => {
        const changes: AcceptedChange[] = [];
        for (let start = 0; start < generations.length; start += changesPerRead) {
            const keys = generations.slice(start, start + changesPerRead).map(changeKey);
            const rows = await read(keys, deadline);
            if (rows.isErr) {
                return Result.err<readonly AcceptedChange[], Failure>(rows.error);
            }
            const byKey = new Map(rows.value.map(row => [row.key, row]));
            const present = keys.flatMap(key => byKey.get(key) ?? []);
            changes.push(...present.map(row => readRowValue<AcceptedChange>(row)));
        }
        return Result.ok<readonly AcceptedChange[], Failure>(changes);
    };

    const readNewest = async (from: IndexedVersion, deadline: number): Promise<Result<NewestVersion, Failure>> => {
        const head = await readGeneration(deadline);
        if (head.isErr || head.value <= from.generation) {
            return head.map(() => ({ version: from, changes: [] }));
        }
        if (from.generation > 0 && head.value - from.generation <= maxChangesToApply) {
            const newChanges = await readChanges(listGenerations(from.generation + 1, head.value), deadline);
            if (newChanges.isErr || newChanges.value.length === head.value - from.generation) {
                return newChanges.map(changes => ({ version: applyChanges(from, changes), changes }));
            }
        }
        return readAllItems();
    };

    /**
     * Items are read page by page while changes continue, so the pages may be of different generations. Each change
     * contains its items in full. Applying all changes since the start once more therefore yields exactly the
     * generation at the end.
     */
    const readAllItems = async (): Promise<Result<NewestVersion, Failure>> => {
        const deadline = clock.monotonicNow() + options.itemsMilliseconds;
        const start = await readGeneration(deadline);
        const rows = await storeClient.list(itemPrefix, StorePriority.Other, deadline);
        if (start.isErr) {
            return Result.err(start.error);
        }
        if (rows.isErr) {
            return Result.err(rows.error);
        }
        const items = rows.value.map(row => readRowValue<ConfigurationItem>(row));
        return readNewest(createConfigurationVersion(start.value, items), deadline);
    };

    const commit = (transactionId: string, change: AcceptedChange, basis: CommitBasis, deadline: number) =>
        storeClient.commit(createChangeTransaction(transactionId, change, basis), StorePriority.Other, deadline);

    const cancel = (transactionId: string, partner: string, writeId: string, deadline: number) =>
        storeClient.commit(
            createCancelTransaction(transactionId, partner, writeId),
            StorePriority.Other,
            deadline,
        );

    return { readState, readGeneration, readNewest, readChanges, commit, cancel };
}

/** The generations from `first` to `last`, both included. */
export function listGenerations(first: number, last: number): readonly number[] {
    return Array.from({ length: Math.max(0, last - first + 1) }, (...[, index]) => first + index);
}

/** Applies consecutive changes, the first of which directly follows `from`. */
export function applyChanges(from: IndexedVersion, changes: readonly AcceptedChange[]): IndexedVersion {
    return changes.reduce((version, change) => version.apply(change), from);
}

function generationOf(head: Row | undefined): number {
    return head ? readRowValue<HeadValue>(head).generation : 0;
}
