import { type Clock, type Failure, type IdSource, type JsonValue, toJson } from "daisyturn-utils";
import { Result } from "true-myth/result";
import {
    absentVersion,
    RejectionCause,
    type Row,
    type RowCondition,
    type Transaction,
    type TransactionAnswer,
    TransactionOutcome,
} from "../../../ports/tableService.js";
import { headKey, type HeadValue } from "../../configuration/index.js";
import { fencingCondition } from "../../lease/index.js";
import { type StoreClient, StorePriority } from "../../store/index.js";
import type { ControllerTenure } from "../controllerTenure.js";
import {
    type EngineOrders,
    engineOrdersKey,
    orderPrefix,
    type OrderRequest,
    orderRequestKey,
    type Vouch,
    vouchKey,
} from "./orderRows.js";
import { parseEngineOrders, parseOrderRequest, parseVouch } from "./parseOrderRows.js";

/** Rows of one engine, read at one version of the store. */
export interface EngineRows {
    readonly engineId: string;
    readonly orders: EngineOrders;
    readonly ordersVersion: number;
    readonly request?: OrderRequest;
    readonly requestVersion: number;
    /** Generation of the newest accepted configuration; 0 before the first. */
    readonly headGeneration: number;
    readonly headVersion: number;
}

/** Rows about orders of all engines of the cell. */
export interface OrderOverview {
    readonly orders: readonly EngineOrders[];
    /** Requests in the order in which the store committed them. */
    readonly requests: readonly OrderRequest[];
    readonly vouches: readonly Vouch[];
}

/** A write of the controller to the rows of one engine. */
export interface EngineWrite {
    readonly orders: EngineOrders;
    /** If undefined, the request row is not written. */
    readonly request?: OrderRequest;
    /** Whether the write must fail if a configuration has been accepted since the rows were read. */
    readonly requiresCurrentConfiguration?: boolean;
}

/** Reads and writes the rows about orders. */
export interface OrderRecords {
    readEngine(engineId: string, deadline: number): Promise<Result<EngineRows, Failure>>;
    readAll(deadline: number): Promise<Result<OrderOverview, Failure>>;
    /**
     * Writes under the lease. The write is rejected if the lease has had another holder since, or if the rows have
     * changed since they were read. Retries until the outcome is known or the tenure is over.
     * @returns the rows as written, or undefined if the write is not known to be committed
     */
    writeEngine(tenure: ControllerTenure, rows: EngineRows, write: EngineWrite): Promise<EngineRows | undefined>;
    /** Adds the sender's own statement to the row of its order, without the lease; rejected if the row has changed. */
    writeStatement(rows: EngineRows, orders: EngineOrders, deadline: number): Promise<TransactionAnswer>;
    writeRequest(request: OrderRequest, rows: EngineRows, deadline: number): Promise<TransactionAnswer>;
    writeVouch(vouch: Vouch, deadline: number): Promise<TransactionAnswer>;
}

export interface OrderRecordsOptions {
    readonly cell: string;
    readonly storeClient: StoreClient;
    readonly clock: Clock;
    readonly ids: IdSource;
}

/** Time limit of one attempt to write under the lease. */
const maxWriteMilliseconds = 2_000;
const retryMilliseconds = 200;

/** Creates the access to a cell's rows about orders. */
export function createOrderRecords(options: OrderRecordsOptions): OrderRecords {
    const { cell, storeClient, clock, ids } = options;

    const readEngine = async (engineId: string, deadline: number): Promise<Result<EngineRows, Failure>> => {
        const ordersKey = engineOrdersKey(cell, engineId);
        const requestKey = orderRequestKey(cell, engineId);
        const answer = await storeClient.read([ordersKey, requestKey, headKey], StorePriority.Other, deadline);
        return answer.map(rows => {
            const find = (key: string) => rows.find(row => row.key === key);
            const request = find(requestKey);
            const orders = find(ordersKey);
            const head = find(headKey);
            return {
                engineId,
                orders: orders ? parseEngineOrders(orders.value) : { engineId },
                ordersVersion: orders?.version ?? absentVersion,
                request: request && parseOrderRequest(request.value),
                requestVersion: request?.version ?? absentVersion,
                headGeneration: (head?.value as HeadValue | undefined)?.generation ?? 0,
                headVersion: head?.version ?? absentVersion,
            };
        });
    };

    const readAll = async (deadline: number): Promise<Result<OrderOverview, Failure>> => {
        const answer = await storeClient.list(orderPrefix(cell), StorePriority.Other, deadline);
        return answer.map(rows => ({
            orders: parseRowsWithPrefix(rows, engineOrdersKey(cell, ""), parseEngineOrders),
            requests: parseRowsWithPrefix(sortByVersion(rows), orderRequestKey(cell, ""), parseOrderRequest),
            vouches: parseRowsWithPrefix(rows, vouchKey(cell, ""), parseVouch),
        }));
    };

    const writeEngine = async (tenure: ControllerTenure, rows: EngineRows, write: EngineWrite) => {
        const transaction = createEngineTransaction(tenure, rows, write);
        while (!tenure.isOver()) {
            const limit = clock.monotonicNow() + maxWriteMilliseconds;
            const answer = await storeClient.commit(transaction, StorePriority.Other, limit);
            if (answer.outcome === TransactionOutcome.Committed) {
                return updateRows(rows, write, answer.version ?? absentVersion);
            }
            if (answer.cause === RejectionCause.ConditionFailed) {
                return undefined;
            }
            await clock.sleepUntil(clock.monotonicNow() + retryMilliseconds, tenure.signal);
        }
        return undefined;
    };

    const createEngineTransaction = (tenure: ControllerTenure, rows: EngineRows, write: EngineWrite): Transaction => {
        const ordersKey = engineOrdersKey(cell, rows.engineId);
        const requestKey = orderRequestKey(cell, rows.engineId);
        const conditions: RowCondition[] = [
            fencingCondition(tenure.lease),
            { key: ordersKey, expectedVersion: rows.ordersVersion },
        ];
        const writes = [{ key: ordersKey, value: toJson(write.orders) as JsonValue }];
        if (write.request) {
            conditions.push({ key: requestKey, expectedVersion: rows.requestVersion });
            writes.push({ key: requestKey, value: toJson(write.request) });
        }
        if (write.requiresCurrentConfiguration) {
            conditions.push({ key: headKey, expectedVersion: rows.headVersion });
        }
        return { writeId: ids.next("wr"), conditions, writes };
    };

    const writeRow = (key: string, value: object, expectedVersion: number | undefined, deadline: number) =>
        storeClient.commit(
            {
                writeId: ids.next("wr"),
                conditions: expectedVersion === undefined ? [] : [{ key, expectedVersion }],
                writes: [{ key, value: toJson(value) }],
            },
            StorePriority.Other,
            deadline,
        );

    return {
        readEngine,
        readAll,
        writeEngine,
        writeStatement: (rows, orders, deadline) =>
            writeRow(engineOrdersKey(cell, rows.engineId), orders, rows.ordersVersion, deadline),
        writeRequest: (request, rows, deadline) =>
            writeRow(orderRequestKey(cell, rows.engineId), request, rows.requestVersion, deadline),
        writeVouch: (vouch, deadline) => writeRow(vouchKey(cell, vouch.incarnation), vouch, undefined, deadline),
    };
}

function updateRows(rows: EngineRows, write: EngineWrite, version: number): EngineRows {
    return {
        ...rows,
        orders: write.orders,
        ordersVersion: version,
        request: write.request ?? rows.request,
        requestVersion: write.request ? version : rows.requestVersion,
    };
}

function parseRowsWithPrefix<T>(rows: readonly Row[], prefix: string, parse: (value: JsonValue) => T): readonly T[] {
    return rows.filter(row => row.key.startsWith(prefix)).map(row => parse(row.value));
}

function sortByVersion(rows: readonly Row[]): readonly Row[] {
    return [...rows].sort((left, right) => left.version - right.version);
}
