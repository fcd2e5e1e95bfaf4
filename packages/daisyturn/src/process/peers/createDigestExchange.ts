import { EventKind, type EventLog, type JsonObject } from "daisyturn-utils";
import type { ProcessIdentity } from "./peerNetwork.js";

/** Makes what a module wants its peers to know; undefined if there is nothing to tell. */
export type DigestSource = () => JsonObject | undefined;

/** Takes what the same module of a peer has told. The same digest may come more than once. */
export type DigestHandler = (from: ProcessIdentity, digest: JsonObject) => void;

/** Lets other modules ride on heartbeats in place of messages of their own. */
export interface DigestExchange {
    /** Adds a source, asked for each heartbeat to each peer. The digest must be small: see `maxDigestBytes`. */
    contributeDigest(name: string, source: DigestSource): void;
    /** Registers the only handler of a name. */
    onDigest(name: string, handler: DigestHandler): void;
}

/** The exchange as the sender and the receiver of heartbeats see it. */
export interface DigestCarrier extends DigestExchange {
    /** The digests that a peer does not have yet; undefined if it has them all. */
    collectFor(processId: string): Record<string, JsonObject> | undefined;
    /** Forgets what a peer has: it gets everything again. */
    forget(processId: string): void;
    receive(from: ProcessIdentity, digests: Readonly<Record<string, JsonObject>>): void;
}

/** Longest digest of one module, as JSON text. */
export const maxDigestBytes = 2_048;

/** Heartbeats may be lost without notice, so what has not changed is sent again every so many heartbeats. */
const heartbeatsUntilRepeat = 10;

/** What a peer was last sent under one name. */
interface SentDigest {
    readonly text: string;
    heartbeatsAgo: number;
}

export function createDigestExchange(eventLog: EventLog): DigestCarrier {
    const sources = new Map<string, DigestSource>();
    const handlers = new Map<string, DigestHandler>();
    const sentTo = new Map<string, Map<string, SentDigest>>();
    const reportedTooLong = new Set<string>();

    const reportTooLong = (name: string, length: number) => {
        if (!reportedTooLong.has(name)) {
            reportedTooLong.add(name);
            eventLog.record(EventKind.Fault, { part: "digest", name, length, reason: "the digest is too long" });
        }
    };

    /** The digest of one source if the peer lacks it. */
    const collectOne = (name: string, source: DigestSource, sent: Map<string, SentDigest>): JsonObject | undefined => {
        const digest = source();
        const text = digest === undefined ? "" : JSON.stringify(digest);
        const last = sent.get(name);
        if (last) {
            last.heartbeatsAgo += 1;
        }
        if (digest === undefined || last?.text === text && last.heartbeatsAgo < heartbeatsUntilRepeat) {
            return undefined;
        }
        if (Buffer.byteLength(text) > maxDigestBytes) {
            reportTooLong(name, text.length);
            return undefined;
        }
        sent.set(name, { text, heartbeatsAgo: 0 });
        return digest;
    };

    const collectFor = (processId: string): Record<string, JsonObject> | undefined => {
        const sent = sentTo.get(processId) ?? new Map<string, SentDigest>();
        sentTo.set(processId, sent);
        const digests: Record<string, JsonObject> = {};
        sources.forEach((source, name) => {
            const digest = collectOne(name, source, sent);
            if (digest) {
                digests[name] = digest;
            }
        });
        return Object.keys(digests).length > 0 ? digests : undefined;
    };

    return {
        contributeDigest: (name, source) => void sources.set(name, source),
        onDigest: (name, handler) => void handlers.set(name, handler),
        collectFor,
        forget: processId => void sentTo.delete(processId),
        receive: (from, digests) => {
            Object.entries(digests).forEach(([name, digest]) => handlers.get(name)?.(from, digest));
        },
    };
}
