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

/** Key of the head row. Every change is conditional on its version, which serializes the changes of the whole fleet. */
export const headKey = "configuration/head";
/** Prefix of the keys of all items. */
export const itemPrefix = "configuration/item/";
const generationDigits = 12;

/** Value of the head row. */
export interface HeadValue {
    readonly generation: number;
}

/** Value of the row that records a write id. */
export interface WriteValue {
    /** Absent where the write id was cancelled before any change was accepted under it. */
    readonly generation?: number;
    /** Distinguishes a repeated request from a different change under the same write id. */
    readonly changesHash: string;
}

/** The state of the store that a commit is based on. */
export interface CommitBasis {
    /** Version of the head row; {@link absentVersion} before the first change. */
    readonly headVersion: number;
    readonly generation: number;
    /** The oldest retained change, if the same transaction is to delete it. */
    readonly pruned?: AcceptedChange;
}

/** Key of the row with the change that created a generation. */
export function changeKey(generation: number): string {
    return `configuration/change/${String(generation).padStart(generationDigits, "0")}`;
}

/** Key of the row that records a write id. It contains the partner: ids of different partners never collide. */
export function writeKey(partner: string, writeId: string): string {
    return `configuration/write/${partner}/${writeId}`;
}

/** Hash of the changes of a request, without the requester and the time. The order of fields does not matter. */
export function hashChanges(changes: readonly ItemChange[]): string {
    return hashText(formatCanonicalJson(changes));
}

/** Formats a value as JSON with the fields of every object sorted by name. */
function formatCanonicalJson(value: unknown): string {
    return JSON.stringify(value, (...[, inner]: [string, unknown]) => {
        const isRecord = inner instanceof Object && !Array.isArray(inner);
        return isRecord ? Object.fromEntries(Object.entries(inner).sort(compareNames)) : inner;
    });
}

function compareNames([left]: [string, unknown], [right]: [string, unknown]): number {
    return left < right ? -1 : 1;
}

/** The transaction that accepts a change. It writes the head, the change, its write id and the changed items. */
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

/** The transaction that cancels a write id, so that no change can be accepted under it. */
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

/** The value of a row of a known kind, unchecked: only the transactions of this module write these rows. */
export function readRowValue<T extends HeadValue | WriteValue | AcceptedChange | ConfigurationItem>(row: Row): T {
    return row.value satisfies JsonValue as unknown as T;
}

/** Whether a change request repeats the change that was accepted under its write id. */
export function isSameChange(write: WriteValue, request: ChangeRequest): boolean {
    return write.changesHash === hashChanges(request.changes);
}
