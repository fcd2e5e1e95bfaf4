import type { FeedRow } from "../../../../ports/changeFeed.js";
import type { RegisteredPeer } from "../../../../ports/peerRegistry.js";
import type { SpeedEstimate } from "../../speeds/speedEntries.js";
import type { ClosingList } from "../../targets/createClosedTargets.js";
import { encodeClosingList, readClosingLists } from "./closingLists.js";
import {
    encodeNotification,
    isAmount,
    isName,
    type Notification,
    readAmount,
    readList,
    readName,
    readOptionalAmount,
    readOptionalFlag,
    readOrUndefined,
} from "./notification.js";
import { encodeEstimates, readEstimates } from "./speedEntries.js";

/** How far a coordinator has read one table that it watches in the store. */
export interface TableState {
    readonly table: string;
    /** Store era of the versions. */
    readonly era: number;
    /** Version of the store at the last known change of the table. */
    readonly changedVersion: number;
    /** Version of the store up to which the table has been read. */
    readonly version: number;
    /** Milliseconds since the store last answered. */
    readonly age: number;
}

/** The state that a coordinator sends regularly to the processes of its group. */
export interface CoordinatorState {
    readonly from: string;
    /** Whether the coordinator knows the load of its group and accepts placement requests. */
    readonly isAnswering: boolean;
    /** Whether its links to most targets are lost, so that another process changes the stages of engines. */
    readonly isCutOff?: boolean;
    readonly tables: readonly TableState[];
    readonly closed: readonly ClosingList[];
    /** The first processes in the ranking of the group's coordinators. */
    readonly candidates: readonly RegisteredPeer[];
    /** `CrashEvidence.digest` of the sender; absent if its version does not send it. */
    readonly evidence?: number;
    /** What the coordinator knows of the speed of plain targets, where it is used. */
    readonly speeds: readonly SpeedEstimate[];
    /** Number of processes in the fleet as the coordinator knows; absent if its version does not send it. */
    readonly processes?: number;
}

/** Rows of a table that changed after `afterVersion` of the store, up to `version`. */
export interface RowsMessage {
    readonly from: string;
    readonly table: string;
    /** Store era of the versions. */
    readonly era: number;
    readonly afterVersion: number;
    readonly version: number;
    readonly rows: readonly FeedRow[];
    /** Milliseconds since the store last failed to answer the coordinator; absent if it has not failed recently. */
    readonly failedAge?: number;
}

export const stateMethod = "state";
export const rowsMethod = "rows";

export function encodeCoordinatorState({ tables, closed, candidates, speeds, ...state }: CoordinatorState): Buffer {
    return encodeNotification(stateMethod, {
        ...state,
        closed: closed.map(encodeClosingList),
        speeds: encodeEstimates(speeds),
        tables: tables.map((
            { table, changedVersion, version, age, era },
        ) => [table, changedVersion, version, age, era]),
        candidates: candidates.map(peer => [
            peer.peerId,
            peer.host,
            peer.port,
            peer.availabilityZone,
            peer.strength,
        ]),
    });
}

/** Decodes a coordinator's state. Returns undefined if a field is missing or invalid. */
export function readCoordinatorState({ method, params }: Notification): CoordinatorState | undefined {
    return method === stateMethod ? readOrUndefined(() => readStateParams(params)) : undefined;
}

/** Encodes changed rows; a row without a text was removed. */
export function encodeRowsMessage({ rows, ...message }: RowsMessage): Buffer {
    const entries = rows.map(({ key, version, text }) => text === undefined ? [key, version] : [key, version, text]);
    return encodeNotification(rowsMethod, { ...message, rows: entries });
}

/** Decodes changed rows. Returns undefined if a field or a row is invalid, because no row may be skipped. */
export function readRowsMessage({ method, params }: Notification): RowsMessage | undefined {
    return method === rowsMethod ? readOrUndefined(() => readRowsParams(params)) : undefined;
}

type StateEntry = readonly [string, number, number, number, number?];
type CandidateEntry = readonly [string, string, number, string, number];
type RowEntry = readonly [string, number, string?];

function readStateParams(params: Notification["params"]): CoordinatorState {
    const isCount = (value: unknown) => isAmount(value);
    const isOptionalCount = (value: unknown) => value === undefined || isAmount(value);
    const tables = readList<StateEntry>(params["tables"], [isName, isCount, isCount, isCount, isOptionalCount]);
    const candidates = readList<CandidateEntry>(params["candidates"], [isName, isName, isCount, isText, isCount]);
    return {
        from: readName(params["from"]),
        isAnswering: params["isAnswering"] === true,
        isCutOff: readOptionalFlag(params["isCutOff"]),
        tables: tables.map(([table, changedVersion, version, age, era = 0]) => ({
            table,
            era,
            changedVersion,
            version,
            age,
        })),
        closed: readClosingLists(params["closed"]),
        candidates: candidates.map(([peerId, host, port, availabilityZone, strength]) => ({
            peerId,
            host,
            port,
            availabilityZone,
            strength,
        })),
        evidence: readOptionalAmount(params["evidence"]),
        speeds: readEstimates(params["speeds"]),
        processes: readOptionalAmount(params["processes"]),
    };
}

function readRowsParams(params: Notification["params"]): RowsMessage {
    const sent = params["rows"] as readonly unknown[];
    const isRowText = (value: unknown) => value === undefined || isText(value);
    const entries = readList<RowEntry>(sent, [isName, value => isAmount(value), isRowText]);
    if (entries.length < sent.length) {
        throw new Error("invalid row");
    }
    return {
        from: readName(params["from"]),
        table: readName(params["table"]),
        era: readOptionalAmount(params["era"]) ?? 0,
        afterVersion: readAmount(params["afterVersion"]),
        version: readAmount(params["version"]),
        rows: entries.map(([key, version, text]) => ({ key, version, text })),
        failedAge: readOptionalAmount(params["failedAge"]),
    };
}

function isText(value: unknown): value is string {
    return typeof value === "string";
}
