import type { Clock, EventLog, IdSource } from "daisyturn-utils";
import type { WeightStore } from "../../ports/weightStore.js";
import type { ConfigurationManager } from "../configuration/index.js";
import type { Membership, ProcessIdentity } from "../peers/index.js";
import type { TargetDirectory } from "../targets/index.js";
import type { ControllerTenure } from "./controllerTenure.js";
import type { EngineRows, OrderRecords } from "./rows/createOrderRecords.js";
import type { OrderSender } from "./sending/createOrderSender.js";
import type { EngineQuiescer } from "./steps/createEngineQuiescer.js";

/** Times and limits of the controller. */
export interface ControllerSettings {
    /** How often the rows of the cell are looked through for new requests. */
    readonly overviewIntervalMilliseconds: number;
    /** How often an engine under an order is looked at. */
    readonly pollIntervalMilliseconds: number;
    readonly callLimitMilliseconds: number;
    /** How long the streams of an engine are given to end before a change is given up. */
    readonly drainLimitMilliseconds: number;
    /** How long an engine may be changing before operators are told. */
    readonly changingLimitMilliseconds: number;
    /**
     * How long bytes may be on the way after their sender has ended. The kernel of a VM goes on sending what an ended
     * process left in its socket: with Linux's defaults for about 100 s if the engine's VM does not answer it.
     */
    readonly bytesInFlightMilliseconds: number;
    /** Engines that are changed at once. */
    readonly maxConcurrentChanges: number;
    /** Engines that load weights at once. */
    readonly maxConcurrentLoads: number;
}

/** Settings that hold where nothing else is said. */
export const defaultControllerSettings: ControllerSettings = {
    overviewIntervalMilliseconds: 1_000,
    pollIntervalMilliseconds: 250,
    callLimitMilliseconds: 2_000,
    drainLimitMilliseconds: 120_000,
    changingLimitMilliseconds: 300_000,
    bytesInFlightMilliseconds: 120_000,
    maxConcurrentChanges: 2,
    maxConcurrentLoads: 1,
};

/** What the parts of the controller share. */
export interface OrderContext {
    readonly self: ProcessIdentity;
    readonly clock: Clock;
    readonly ids: IdSource;
    readonly eventLog: EventLog;
    readonly settings: ControllerSettings;
    readonly records: OrderRecords;
    readonly sender: OrderSender;
    readonly quiescer: EngineQuiescer;
    readonly membership: Membership;
    readonly configurationManager: ConfigurationManager;
    readonly targetDirectory: TargetDirectory;
    readonly weightStore: WeightStore;
    /** Whether an operator has vouched for the end of that process run. */
    readonly isVouched: (incarnation: string) => boolean;
}

/** What a step has brought. */
export enum StepResult {
    /** Something was written; the rows have to be read again. */
    Progress = "progress",
    /** Nothing to do yet. */
    Wait = "wait",
    /** Something failed; look again after a longer while. */
    BackOff = "back_off",
    /** Nothing to do for this engine. */
    Idle = "idle",
}

/** Takes one step for one engine. */
export type EngineStepper = (tenure: ControllerTenure, rows: EngineRows) => Promise<StepResult>;
