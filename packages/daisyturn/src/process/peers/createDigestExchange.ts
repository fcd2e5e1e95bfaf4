import { EventKind, type EventLog, type JsonObject } from "daisyturn-utils";
import type { ProcessIdentity } from "./peerNetwork.js";

/** Creates the digest of a module for its peers; undefined if there is nothing to send. */
export type DigestSource = () => JsonObject | undefined;

/** Handles a digest of the same module of a peer. The same digest may be received more than once. */
export type DigestHandler = (from: ProcessIdentity, digest: JsonObject) => void;

/** Sends small messages of other modules along with heartbeats, instead of as separate messages. */
export interface DigestExchange {
    /** Adds a source, called for each heartbeat to each peer. Its digest must not exceed `maxDigestBytes`. */
    contributeDigest(name: string, source: DigestSource): void;
    /** Registers the only handler of a name. */
    onDigest(name: string, handler: DigestHandler): void;
}

/** Digest exchange with the operations that the sender and the receiver of heartbeats need. */
export interface DigestCarrier extends DigestExchange {
    /** Returns the digests to send to a peer: new, changed or due for repetition; undefined if there are none. */
    collectFor(processId: string): Record<string, JsonObject> | undefined;
    /** Discards the record of what was sent to a peer, so that all digests are sent again. */
    forget(processId: string): void;
    receive(from: ProcessIdentity, digests: Readonly<Record<string, JsonObject>>): void;
}

/** Maximum size of the digest of one module, as JSON text. */
export const maxDigestBytes = 2_048;

/** An unchanged digest is sent again after this many heartbeats, because heartbeats may be lost without notice. */
const heartbeatsUntilRepeat = 10;

/** The digest of one name that was last sent to a peer. */
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
            eventLog.record(EventKind.Fault, {
                part: "digest",
                name,
                length,
                reason: "the digest exceeds the size limit",
            });
        }
    };

    /** Returns the digest of one source if it is to be sent to the peer. */
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
