import {
    encodeNotification,
    isName,
    type Notification,
    readAmount,
    readName,
    readOrUndefined,
} from "../forwarding/coordination/messages/notification.js";
import type { PeerAddress } from "../forwarding/coordination/peerChannel.js";

/** A process, as another one names it. */
export interface NamedPeer extends PeerAddress {
    readonly peerId: string;
}

/** A quota, and the rate of it that a process knows. */
export interface KnownQuota {
    readonly quota: string;
    /** Tokens a second. */
    readonly perSecond: number;
    /** Milliseconds since the rate was named. */
    readonly age: number;
}

/** Asks the home of a quota for a token. */
export interface TokenRequest extends KnownQuota {
    readonly from: string;
    /** Chosen by the sender. */
    readonly number: number;
}

/** Answers a {@link TokenRequest}. */
export interface TokenReply {
    readonly from: string;
    readonly number: number;
    readonly isGranted: boolean;
    /** Milliseconds after which a token is expected. */
    readonly wait: number;
    /** The process that is the home according to the sender, if it is another one. */
    readonly home?: NamedPeer;
}

/** Asks a process to accept no other home of a quota for a time. */
export interface HoldRequest {
    readonly from: string;
    readonly quota: string;
    /** Monotonic time of the sender, which the answer repeats. */
    readonly sentAt: number;
}

/** Answers a {@link HoldRequest}. */
export interface HoldReply extends HoldRequest {
    readonly isHeld: boolean;
    /** The home that the sender holds the quota for, if it is another one. */
    readonly home?: NamedPeer;
}

/** Finds out whether a process responds. */
export interface Ping {
    readonly from: string;
    readonly isAnswer: boolean;
}

/** Tells all processes the rate of a quota. */
export interface AnnouncedRate extends KnownQuota {
    readonly from: string;
}

const methods = {
    request: "take_token",
    reply: "token",
    hold: "hold_home",
    held: "home_held",
    ping: "quota_ping",
    rate: "quota_named",
};

export const encodeTokenRequest = (message: TokenRequest) => encodeNotification(methods.request, message);
export const encodeTokenReply = (message: TokenReply) => encodeNotification(methods.reply, message);
export const encodeHoldRequest = (message: HoldRequest) => encodeNotification(methods.hold, message);
export const encodeHoldReply = (message: HoldReply) => encodeNotification(methods.held, message);
export const encodePing = (message: Ping) => encodeNotification(methods.ping, message);
export const encodeAnnouncement = (message: AnnouncedRate) => encodeNotification(methods.rate, message);

/** Decodes a message. Returns undefined if it is another one, or if a field is missing or invalid. */
export const readTokenRequest = (notification: Notification): TokenRequest | undefined =>
    read(notification, methods.request, params => ({
        ...readKnownQuota(params),
        number: readAmount(params["number"]),
    }));

export const readTokenReply = (notification: Notification): TokenReply | undefined =>
    read(notification, methods.reply, params => ({
        from: readName(params["from"]),
        number: readAmount(params["number"]),
        isGranted: params["isGranted"] === true,
        wait: readAmount(params["wait"]),
        home: readPeer(params["home"]),
    }));

export const readHoldRequest = (notification: Notification): HoldRequest | undefined =>
    read(notification, methods.hold, readHold);

export const readHoldReply = (notification: Notification): HoldReply | undefined =>
    read(notification, methods.held, params => ({
        ...readHold(params),
        isHeld: params["isHeld"] === true,
        home: readPeer(params["home"]),
    }));

export const readPing = (notification: Notification): Ping | undefined =>
    read(notification, methods.ping, params => ({
        from: readName(params["from"]),
        isAnswer: params["isAnswer"] === true,
    }));

export const readAnnouncement = (notification: Notification): AnnouncedRate | undefined =>
    read(notification, methods.rate, readKnownQuota);

const quotaMethods: ReadonlySet<string> = new Set(Object.values(methods));

/** Whether a notification is one of the messages above. */
export function isQuotaMessage({ method }: Notification): boolean {
    return quotaMethods.has(method);
}

type Params = Notification["params"];

function read<Message>(
    { method, params }: Notification,
    expected: string,
    decode: (params: Params) => Message,
): Message | undefined {
    return method === expected ? readOrUndefined(() => decode(params)) : undefined;
}

function readKnownQuota(params: Params): AnnouncedRate {
    return {
        from: readName(params["from"]),
        quota: readName(params["quota"]),
        perSecond: readAmount(params["perSecond"]),
        age: readAmount(params["age"]),
    };
}

function readHold(params: Params): HoldRequest {
    return {
        from: readName(params["from"]),
        quota: readName(params["quota"]),
        sentAt: readAmount(params["sentAt"]),
    };
}

function readPeer(value: unknown): NamedPeer | undefined {
    const { peerId, host, port } = (value ?? {}) as Record<string, unknown>;
    return isName(peerId) && isName(host) ? { peerId, host, port: readAmount(port, 65_535) } : undefined;
}
