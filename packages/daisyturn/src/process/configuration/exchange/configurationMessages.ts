import { type JsonObject, toJson } from "daisyturn-utils";
import type { AcceptedChange } from "../../../version/configurationChange.js";
import type { ConfigurationItem, ItemIdentity } from "../../../version/configurationItems.js";
import type { GenerationUsage } from "../../../version/createVersionUsage.js";

/** Tells a peer of an accepted change. */
export interface PushMessage {
    readonly change: AcceptedChange;
}

/** Generation in force at the peer after it has taken the message in. */
export interface PushAnswer {
    readonly generation: number;
}

/** Asks a peer for what it has beyond a generation. */
export interface PullMessage {
    readonly generation: number;
    /** Asks for a further page of all items instead. */
    readonly page?: { readonly generation: number; readonly offset: number; };
}

/** Some of the items of one generation. */
export interface ItemPage {
    readonly generation: number;
    readonly items: readonly ConfigurationItem[];
    /** Absent on the last page. */
    readonly nextOffset?: number;
}

/** Without `changes` and `page` the peer has nothing newer, or no longer the generation whose page was asked for. */
export interface PullAnswer {
    readonly generation: number;
    /** Processes of the cell that the peer knows of and that are not known to have ended, itself included. */
    readonly cellSize: number;
    /** The changes between, where the peer still has all of them. */
    readonly changes?: readonly AcceptedChange[];
    /** Else the first page of all items. */
    readonly page?: ItemPage;
}

/** Asks what runs under an item since before a generation. */
export interface UsageMessage {
    readonly generation: number;
    /** Absent: only the counts by generation are wanted. */
    readonly identity?: ItemIdentity;
}

/** What runs at a process. */
export interface UsageAnswer {
    /** In force there. */
    readonly generation: number;
    /** Requests under the item that arrived before the generation asked for. */
    readonly requests: number;
    readonly byGeneration: readonly GenerationUsage[];
}

type ConfigurationMessage = PushMessage | PushAnswer | PullMessage | PullAnswer | UsageMessage | UsageAnswer;

/** Hands a message over as JSON. */
export function encodeMessage(message: ConfigurationMessage): JsonObject {
    return toJson(message);
}

/** Reads a peer's message. Peers run the same software, so only the one field that all share is checked. */
export function decodeMessage<T extends Exclude<ConfigurationMessage, PushMessage>>(
    message: JsonObject,
): T | undefined {
    return Number.isSafeInteger(message["generation"]) ? message as unknown as T : undefined;
}

/** Reads a pushed change. */
export function decodePush(message: JsonObject): AcceptedChange | undefined {
    const change = (message as unknown as Partial<PushMessage>).change;
    return change && Number.isSafeInteger(change.generation) && Array.isArray(change.changes) ? change : undefined;
}
