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
} from "../../forwarding/coordination/messages/notification.js";

/** Whole counts of one window of one incarnation, and the sender's clock. Without accounts, it only brings the clock. */
export interface UsageMessage {
    readonly from: string;
    readonly source: string;
    readonly wall: number;
    readonly window: number;
    /** Total of the counts, which tells a later message of the window from an earlier one. */
    readonly total: number;
    readonly counts: readonly (readonly [account: string, count: number])[];
    /** The sender's monotonic clock, in milliseconds; undefined from earlier versions. */
    readonly sentAt?: number;
    /** Whether another process than the sender has counted: its clock is not the sender's. */
    readonly isRelayed?: boolean;
}

/** Says that the counts up to this total were received. */
export interface UsageReceipt {
    readonly from: string;
    readonly source: string;
    readonly window: number;
    readonly total: number;
    /** Incarnation of the sender: counts that only an earlier one received are sent again. */
    readonly receiver?: string;
    /** The fleet's time, in milliseconds since the start of 1970; undefined while the sender does not know it. */
    readonly time?: number;
    /** `sentAt` of the message that was received. */
    readonly sentAt?: number;
}

/** Asks for the counts of a window. Each incarnation is answered by one {@link UsageMessage}, and then a {@link UsageEnd}. */
export interface UsageQuery {
    readonly from: string;
    readonly window: number;
}

/** States how many incarnations the sender has counts of. */
export interface UsageEnd {
    readonly from: string;
    readonly window: number;
    readonly sources: number;
    /** Whether the sender has been a coordinator for long enough to have the counts of its whole group. */
    readonly isSettled?: boolean;
}

export const usageMethod = "usage";
export const usagePartMethod = "usage_part";
const receiptMethod = "usage_receipt";
const queryMethod = "usage_query";
const endMethod = "usage_end";

export function encodeUsage(message: UsageMessage, method = usageMethod): Buffer {
    return encodeNotification(method, message);
}

export function encodeUsageReceipt(receipt: UsageReceipt): Buffer {
    return encodeNotification(receiptMethod, receipt);
}

export function encodeUsageQuery(query: UsageQuery): Buffer {
    return encodeNotification(queryMethod, query);
}

export function encodeUsageEnd(end: UsageEnd): Buffer {
    return encodeNotification(endMethod, end);
}

/** Decodes counts. Returns undefined if a field is missing or invalid. */
export function readUsage({ method, params }: Notification, expected = usageMethod): UsageMessage | undefined {
    return method !== expected ? undefined : readOrUndefined(() => ({
        from: readName(params["from"]),
        source: readName(params["source"]),
        wall: readAmount(params["wall"]),
        window: readAmount(params["window"]),
        total: readAmount(params["total"]),
        counts: readList<[string, number]>(params["counts"], [isName, count => isAmount(count)]),
        sentAt: readOptionalAmount(params["sentAt"]),
        isRelayed: readOptionalFlag(params["isRelayed"]),
    }));
}

/** Decodes a receipt. Returns undefined if a field is missing or invalid. */
export function readUsageReceipt({ method, params }: Notification): UsageReceipt | undefined {
    return method !== receiptMethod ? undefined : readOrUndefined(() => ({
        from: readName(params["from"]),
        source: readName(params["source"]),
        window: readAmount(params["window"]),
        total: readAmount(params["total"]),
        receiver: params["receiver"] === undefined ? undefined : readName(params["receiver"]),
        time: readOptionalAmount(params["time"]),
        sentAt: readOptionalAmount(params["sentAt"]),
    }));
}

/** Decodes a query. Returns undefined if a field is missing or invalid. */
export function readUsageQuery({ method, params }: Notification): UsageQuery | undefined {
    return method !== queryMethod ? undefined : readOrUndefined(() => ({
        from: readName(params["from"]),
        window: readAmount(params["window"]),
    }));
}

/** Decodes the end of the answers to a query. Returns undefined if a field is missing or invalid. */
export function readUsageEnd({ method, params }: Notification): UsageEnd | undefined {
    return method !== endMethod ? undefined : readOrUndefined(() => ({
        from: readName(params["from"]),
        window: readAmount(params["window"]),
        sources: readAmount(params["sources"]),
        isSettled: readOptionalFlag(params["isSettled"]),
    }));
}
