import { maxOriginLifetimeMilliseconds } from "../../../origins/index.js";
import {
    encodeNotification,
    isAmount,
    isName,
    type Notification,
    readList,
    readName,
    readOrUndefined,
} from "./notification.js";

/** A stream's origin as sent to other processes. */
export interface SentOrigin {
    readonly streamId: string;
    readonly service: string;
    readonly softwareVersion: string;
    /** `StreamOrigin.account`. */
    readonly account?: string;
    /** Milliseconds for which the caller may still resume the stream. */
    readonly remaining: number;
}

/** Origins that the receiver is to keep, or that answer its query. */
export interface OriginsMessage {
    readonly from: string;
    readonly origins: readonly SentOrigin[];
}

/** Asks for the origin of a stream. It is answered by an {@link OriginsMessage} or an {@link UnknownOriginMessage}. */
export interface OriginQuery {
    readonly from: string;
    readonly streamId: string;
    /** The service whose software versions the receiver adds to its answer, if it does not know the stream. */
    readonly service: string;
}

/** Tells that the sender does not know the origin of a stream. */
export interface UnknownOriginMessage {
    readonly from: string;
    readonly streamId: string;
    /** `VersionHistory.list` of the sender. */
    readonly versions: readonly string[];
    /** `VersionHistory.isComplete` of the sender. */
    readonly isComplete: boolean;
}

export const originsMethod = "origins";
export const originQueryMethod = "find_origin";
export const unknownOriginMethod = "unknown_origin";
/** As many origins as fit a datagram that networks deliver in one piece. */
const maxOriginsPerDatagram = 12;

/** Stream, service, software version, remaining milliseconds, account. */
type OriginEntry = readonly [string, string, string, number, string?];

/** Encodes a message as one or more notifications. */
export function encodeOrigins({ from, origins }: OriginsMessage): Buffer[] {
    const entries = origins.map((
        { streamId, service, softwareVersion, remaining, account },
    ): OriginEntry => {
        const entry = [streamId, service, softwareVersion, Math.round(remaining)] as const;
        // Earlier versions skip entries that have an account.
        return account === undefined ? entry : [...entry, account];
    });
    return Array.from({ length: Math.ceil(entries.length / maxOriginsPerDatagram) }, (value, index) => {
        const first = index * maxOriginsPerDatagram;
        return encodeNotification(originsMethod, {
            from,
            origins: entries.slice(first, first + maxOriginsPerDatagram),
        });
    });
}

export function encodeOriginQuery(query: OriginQuery): Buffer {
    return encodeNotification(originQueryMethod, query);
}

export function encodeUnknownOrigin(message: UnknownOriginMessage): Buffer {
    return encodeNotification(unknownOriginMethod, message);
}

/** Decodes a message. Returns undefined if it has no sender or no list; invalid origins are skipped. */
export function readOrigins({ method, params }: Notification): OriginsMessage | undefined {
    const isRemaining = (value: unknown) => isAmount(value, maxOriginLifetimeMilliseconds);
    const isAccount = (value: unknown) => value === undefined || isName(value);
    return method === originsMethod
        ? readOrUndefined(() => ({
            from: readName(params["from"]),
            origins: readList<OriginEntry>(params["origins"], [isName, isName, isVersion, isRemaining, isAccount])
                .map(([streamId, service, softwareVersion, remaining, account]) => ({
                    streamId,
                    service,
                    softwareVersion,
                    remaining,
                    ...(account === undefined ? {} : { account }),
                })),
        }))
        : undefined;
}

/** Decodes a query. Returns undefined if a field is missing or invalid. */
export function readOriginQuery({ method, params }: Notification): OriginQuery | undefined {
    return method === originQueryMethod
        ? readOrUndefined(() => ({
            from: readName(params["from"]),
            streamId: readName(params["streamId"]),
            service: readName(params["service"]),
        }))
        : undefined;
}

/** Decodes a message. Returns undefined if a field is missing or invalid. */
export function readUnknownOrigin({ method, params }: Notification): UnknownOriginMessage | undefined {
    return method === unknownOriginMethod
        ? readOrUndefined(() => ({
            from: readName(params["from"]),
            streamId: readName(params["streamId"]),
            versions: readVersions(params["versions"]),
            isComplete: params["isComplete"] === true,
        }))
        : undefined;
}

/** @throws if the value is not a list of versions */
function readVersions(value: unknown): string[] {
    if (!Array.isArray(value) || !value.every(isVersion)) {
        throw new Error("not a list of versions");
    }
    return value;
}

/** A software version may be empty. */
function isVersion(value: unknown): value is string {
    return value === "" || isName(value);
}
