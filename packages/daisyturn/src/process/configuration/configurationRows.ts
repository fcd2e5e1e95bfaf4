import { hashText, type JsonValue, toJson } from "daisyturn-utils";
import { absentVersion, type Row, type Transaction } from "../../ports/tableService.js";
import {
    type AcceptedChange,
    ChangeAction,
    type ChangeRequest,
    type ItemChange,
} from "../../version/configurationChange.js";
import { type ConfigurationItem, formatItemIdentity } from "../../version/configurationItems.js";
import { identityOf } from "../../version/validateChange.js";

/** Row whose version every change is conditional on: changes of the whole fleet follow one another. */
export const headKey = "configuration/head";
/** Start of the keys of all items. */
export const itemPrefix = "configuration/item/";
const generationDigits = 12;

/** Value of the head row. */
export interface HeadValue {
    readonly generation: number;
}

/** Value of the row that remembers a write id. */
export interface WriteValue {
    /** Absent where the write id was cancelled before any change was accepted under it. */
    readonly generation?: number;
    /** Tells a second change under a used write id from the same one asked again. */
    readonly changesHash: string;
}

/** What a publisher must know of the store before it commits. */
export interface CommitBasis {
    /** Version of the head row; {@link absentVersion} before the first change. */
    readonly headVersion: number;
    readonly generation: number;
    /** The oldest change kept, if it is to go in the same transaction. */
    readonly pruned?: AcceptedChange;
}

/** Key of the row that holds the change which made a generation. */
export function changeKey(generation: number): string {
    return `configuration/change/${String(generation).padStart(generationDigits, "0")}`;
}

/** Key of the row that remembers a write id. Each partner has its own: ids of two partners never meet. */
export function writeKey(partner: string, writeId: string): string {
    return `configuration/write/${partner}/${writeId}`;
}

/** Hash of what a change request asks for, without who asks and when. Fields may come in any order. */
export function hashChanges(changes: readonly ItemChange[]): string {
    return hashText(formatCanonicalJson(changes));
}

/** JSON with the fields of every object in the order of their names. */
function formatCanonicalJson(value: unknown): string {
    return JSON.stringify(value, (...[, inner]: [string, unknown]) => {
        const isRecord = inner instanceof Object && !Array.isArray(inner);
        return isRecord ? Object.fromEntries(Object.entries(inner).sort(compareNames)) : inner;
    });
}

function compareNames([left]: [string, unknown], [right]: [string, unknown]): number {
    return left < right ? -1 : 1;
}

/** The transaction that accepts a change: the change itself, its effect on the items, and the head. */
export function createChangeTransaction(
    transactionId: string,
    change: AcceptedChange,
    basis: CommitBasis,
): Transaction {
    const write: WriteValue = {
        generation: change.generation,
        changesHash: hashChanges(change.changes),
    };
    const head: HeadValue = { generation: change.generation };
    const ownWriteKey = writeKey(change.partner, change.writeId);
    return {
        writeId: transactionId,
        conditions: [
            { key: headKey, expectedVersion: basis.headVersion },
            { key: ownWriteKey, expectedVersion: absentVersion },
        ],
        writes: [
            { key: headKey, value: toJson(head) },
            { key: changeKey(change.generation), value: toJson(change) },
            { key: ownWriteKey, value: toJson(write) },
            ...change.changes.map(createItemWrite),
            ...createPruningWrites(basis.pruned),
        ],
    };
}

/** The transaction that uses up a write id for nothing. */
export function createCancelTransaction(transactionId: string, partner: string, writeId: string): Transaction {
    const write: WriteValue = { changesHash: "" };
    const key = writeKey(partner, writeId);
    return {
        writeId: transactionId,
        conditions: [{ key, expectedVersion: absentVersion }],
        writes: [{ key, value: toJson(write) }],
    };
}

function createItemWrite(change: ItemChange) {
    const key = `configuration/item/${formatItemIdentity(identityOf(change))}`;
    return { key, value: change.action === ChangeAction.Put ? toJson(change.item) : undefined };
}

function createPruningWrites(pruned: AcceptedChange | undefined) {
    return pruned
        ? [
            { key: changeKey(pruned.generation), value: undefined },
            { key: writeKey(pruned.partner, pruned.writeId), value: undefined },
        ]
        : [];
}

/** The value of a row of a known kind. Only this module's transactions write these rows. */
export function readRowValue<T extends HeadValue | WriteValue | AcceptedChange | ConfigurationItem>(row: Row): T {
    return row.value satisfies JsonValue as unknown as T;
}

/** Whether a change request is a repeat of the one that a write id stands for. */
export function isSameChange(write: WriteValue, request: ChangeRequest): boolean {
    return write.changesHash === hashChanges(request.changes);
}
