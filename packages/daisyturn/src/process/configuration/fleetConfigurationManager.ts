import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { ItemDifference } from "../../version/compareChange.js";
import type { ChangeRequest } from "../../version/configurationChange.js";
import type { ItemIdentity } from "../../version/configurationItems.js";
import type { GenerationUsage, VersionPin } from "../../version/createVersionUsage.js";
import type { ConfigurationManager } from "./configurationManager.js";

/** The state of a change request. */
export enum ChangeState {
    Accepted = "accepted",
    /** Not accepted so far. A request that is still in flight may be accepted later. */
    NotAccepted = "not_accepted",
    /** Not accepted, and can no longer be accepted. */
    Cancelled = "cancelled",
}

/** The outcome of the change request with a write id. */
export interface ChangeOutcome {
    readonly state: ChangeState;
    /** Present only with Accepted. */
    readonly generation?: number;
}

/** The effect that a change would have if it were published now. */
export interface ChangePreview {
    /** The generation that the change would follow. */
    readonly generation: number;
    /** Whether the generation was compared with the store. If not, it is the active one of this process. */
    readonly isCurrent: boolean;
    readonly differences: readonly ItemDifference[];
}

/** The versions in use at a process. */
export interface ProcessUsage {
    readonly processId: string;
    /** The active generation. Absent if the process has not answered. */
    readonly generation?: number;
    readonly byGeneration?: readonly GenerationUsage[];
}

/** Whether any requests still run under an item that was removed. */
export interface RetirementReport {
    readonly identity: ItemIdentity;
    /** The report counts requests that arrived before this generation was active at their process. */
    readonly generation: number;
    /** Every process that may still be running has the generation active and runs no requests under the item. */
    readonly isComplete: boolean;
    readonly runningAt: readonly { readonly processId: string; readonly requests: number; }[];
    /** Processes that have not answered, or at which the generation is not yet active. */
    readonly notConfirmedBy: readonly string[];
}

/** A configuration manager with the functions for operators and the request path. */
export interface FleetConfigurationManager extends ConfigurationManager {
    /** Pins the active version for a request; see `VersionUsage`. */
    pin(): VersionPin;
    /** Validates a change as `publish` does, without committing it. */
    preview(request: ChangeRequest): Promise<Result<ChangePreview, Failure>>;
    outcomeOf(partner: string, writeId: string): Promise<Result<ChangeOutcome, Failure>>;
    /** Cancels a write id, so that no change can be accepted under it. Returns Accepted if one already was. */
    cancel(partner: string, writeId: string): Promise<Result<ChangeOutcome, Failure>>;
    /** The active generation and the generations in use, for every process. */
    usage(): Promise<readonly ProcessUsage[]>;
    /** @param generation that removed the item; if absent, the active one, in which the item must not exist */
    retirementOf(identity: ItemIdentity, generation?: number): Promise<Result<RetirementReport, Failure>>;
}
