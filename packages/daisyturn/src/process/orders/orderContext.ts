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
    /** Interval at which the rows of the cell are read to find new requests. */
    readonly overviewIntervalMilliseconds: number;
    /** Interval at which an engine with an open order is checked. */
    readonly pollIntervalMilliseconds: number;
    readonly callLimitMilliseconds: number;
    /** How long the streams of an engine may take to end before the change is abandoned. */
    readonly drainLimitMilliseconds: number;
    /** How long an engine may be changing before it is reported to operators as withheld. */
    readonly changingLimitMilliseconds: number;
    /**
     * How long bytes may be in flight after their sender has ended. The kernel of a VM continues to send what an ended
     * process left in its socket, with Linux's defaults for about 100 s if the engine's VM does not respond.
     */
    readonly bytesInFlightMilliseconds: number;
    /** Maximum number of engines changed at the same time. */
    readonly maxConcurrentChanges: number;
    /** Maximum number of engines loading weights at the same time. */
    readonly maxConcurrentLoads: number;
}

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

/** Dependencies shared by the parts of the controller. */
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
    /** Whether an operator has vouched that this incarnation of a process has ended. */
    readonly isVouched: (incarnation: string) => boolean;
}

/** Result of a step; determines when the next one follows. */
export enum StepResult {
    /** Something was written; the rows are read again at once. */
    Progress = "progress",
    /** Nothing to do yet. */
    Wait = "wait",
    /** Something failed or is withheld; try again after an increasing delay. */
    BackOff = "back_off",
    /** Nothing to do for this engine. */
    Idle = "idle",
}

/** Performs one step for one engine. */
export type EngineStepper = (tenure: ControllerTenure, rows: EngineRows) => Promise<StepResult>;
