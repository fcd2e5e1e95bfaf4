import type { Failure } from "daisyturn-utils";
import type { Result } from "true-myth/result";
import type { ItemDifference } from "../../version/compareChange.js";
import type { ChangeRequest } from "../../version/configurationChange.js";
import type { ItemIdentity } from "../../version/configurationItems.js";
import type { GenerationUsage, VersionPin } from "../../version/createVersionUsage.js";
import type { ConfigurationManager } from "./configurationManager.js";

/** What became of a change request. */
export enum ChangeState {
    Accepted = "accepted",
    /** Not accepted so far; a request that is still under way may yet be. */
    NotAccepted = "not_accepted",
    /** Not accepted and never will be. */
    Cancelled = "cancelled",
}

/** Answer to the question what became of a write id. */
export interface ChangeOutcome {
    readonly state: ChangeState;
    /** With Accepted. */
    readonly generation?: number;
}

/** What a change would do if it were published now. */
export interface ChangePreview {
    /** The generation that the change would follow. */
    readonly generation: number;
    /** Whether that was checked against the store just now; else it is what is in force at this process. */
    readonly isCurrent: boolean;
    readonly differences: readonly ItemDifference[];
}

/** What a process says of the versions in use there. */
export interface ProcessUsage {
    readonly processId: string;
    /** Generation in force; absent if the process has not answered. */
    readonly generation?: number;
    readonly byGeneration?: readonly GenerationUsage[];
}

/** Whether anything still runs under an item that was removed. */
export interface RetirementReport {
    readonly identity: ItemIdentity;
    /** Counted are requests that arrived before this generation was in force at their process. */
    readonly generation: number;
    /** Every process that may still run has the generation in force and runs nothing under the item. */
    readonly isComplete: boolean;
    readonly runningAt: readonly { readonly processId: string; readonly requests: number; }[];
    /** Processes that have not answered or have not the generation in force. */
    readonly notConfirmedBy: readonly string[];
}

/** The keeper with what only operators and the request path need of it. */
export interface FleetConfigurationManager extends ConfigurationManager {
    /** Pins the version in force for a request; see `VersionUsage`. */
    pin(): VersionPin;
    /** Checks a change as `publish` would, without making it. */
    preview(request: ChangeRequest): Promise<Result<ChangePreview, Failure>>;
    outcomeOf(partner: string, writeId: string): Promise<Result<ChangeOutcome, Failure>>;
    /** Uses up a write id that was not accepted, so that it never will be. Answers Accepted where it comes too late. */
    cancel(partner: string, writeId: string): Promise<Result<ChangeOutcome, Failure>>;
    /** What is in force and in use at every process. */
    usage(): Promise<readonly ProcessUsage[]>;
    /** @param generation that removed the item; absent: the one in force, where the item must be gone */
    retirementOf(identity: ItemIdentity, generation?: number): Promise<Result<RetirementReport, Failure>>;
}
