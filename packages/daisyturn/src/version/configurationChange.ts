import type { ConfigurationItem, ItemIdentity } from "./configurationItems.js";

/** Actions on an item. */
export enum ChangeAction {
    Put = "put",
    Remove = "remove",
}

/** Adds an item or replaces it as a whole. */
export interface PutItem {
    readonly action: ChangeAction.Put;
    readonly item: ConfigurationItem;
}

export interface RemoveItem {
    readonly action: ChangeAction.Remove;
    readonly identity: ItemIdentity;
}

/** One step of a change. */
export type ItemChange = PutItem | RemoveItem;

/** An operator's change request. All its changes take effect in one generation, or none does. */
export interface ChangeRequest {
    /** Chosen by the operator's client. A repeated request with the same id only returns the outcome. */
    readonly writeId: string;
    readonly partner: string;
    readonly operator: string;
    readonly changes: readonly ItemChange[];
    /** If present, the change is refused unless this is the fleet's current generation. */
    readonly expectedGeneration?: number;
}

/** A change that the fleet has accepted. It is stored in the table service and pushed to every process. */
export interface AcceptedChange {
    readonly generation: number;
    readonly writeId: string;
    readonly partner: string;
    readonly operator: string;
    readonly changes: readonly ItemChange[];
    /** Wall-clock time in milliseconds. */
    readonly acceptedAt: number;
}

/** Answer to the operator. */
export interface ChangeAnswer {
    readonly generation: number;
    /** Processes that have confirmed that this generation or a later one is active. */
    readonly inForceAt: readonly string[];
    /** Members that had not confirmed it when the answer was sent. */
    readonly notConfirmedBy: readonly string[];
}
