import { type JsonObject, toJson } from "daisyturn-utils";
import type { AcceptedChange } from "../../../version/configurationChange.js";
import type { ConfigurationItem, ItemIdentity } from "../../../version/configurationItems.js";
import type { GenerationUsage } from "../../../version/createVersionUsage.js";

/** Sends an accepted change to a peer. */
export interface PushMessage {
    readonly change: AcceptedChange;
}

/** The generation that is active at the peer after it has processed the push. */
export interface PushAnswer {
    readonly generation: number;
}

/** Requests the changes or items that a peer has after a generation. */
export interface PullMessage {
    readonly generation: number;
    /** Requests a further page of all items instead. */
    readonly page?: { readonly generation: number; readonly offset: number; };
}

/** Some of the items of one generation. */
export interface ItemPage {
    readonly generation: number;
    readonly items: readonly ConfigurationItem[];
    /** Absent on the last page. */
    readonly nextOffset?: number;
}

/** Without `changes` and `page` the peer has nothing newer, or no longer has the generation of the requested page. */
export interface PullAnswer {
    readonly generation: number;
    /** Number of processes of the cell that the peer knows and that are not known to have ended, itself included. */
    readonly cellSize: number;
    /** The changes after the requested generation, if the peer still retains all of them. */
    readonly changes?: readonly AcceptedChange[];
    /** The first page of all items if the changes are not retained, or the page that was requested. */
    readonly page?: ItemPage;
}

/** Requests the number of running requests under an item that arrived before a generation was active. */
export interface UsageMessage {
    readonly generation: number;
    /** If absent, only the counts by generation are requested. */
    readonly identity?: ItemIdentity;
}

/** The requests that are running at a process. */
export interface UsageAnswer {
    /** The active generation of the process. */
    readonly generation: number;
    /** Requests under the item that arrived before the requested generation was active. */
    readonly requests: number;
    readonly byGeneration: readonly GenerationUsage[];
}

type ConfigurationMessage = PushMessage | PushAnswer | PullMessage | PullAnswer | UsageMessage | UsageAnswer;

/** Encodes a message as JSON. */
export function encodeMessage(message: ConfigurationMessage): JsonObject {
    return toJson(message);
}

/** Decodes a peer's message. Peers run the same software, so only the field that all messages share is checked. */
export function decodeMessage<T extends Exclude<ConfigurationMessage, PushMessage>>(
    message: JsonObject,
): T | undefined {
    return Number.isSafeInteger(message["generation"]) ? message as unknown as T : undefined;
}

/** Decodes a pushed change. Undefined if it is malformed. */
export function decodePush(message: JsonObject): AcceptedChange | undefined {
    const change = (message as unknown as Partial<PushMessage>).change;
    return change && Number.isSafeInteger(change.generation) && Array.isArray(change.changes) ? change : undefined;
}
