import type { Clock, EventLog } from "daisyturn-utils";
import type { DutyAnswer, EngineOrder } from "../../../ports/duties/fleetDuties.js";
import type { ListedTarget } from "../../../ports/listedTarget.js";
import type { EngineScaling } from "../../../version/forwarding/forwardingConfiguration.js";
import type { Lease } from "../../lease/index.js";
import type { EngineKind } from "./fleetNumbers.js";
import type { SampledWork } from "./forecastNeeds.js";

/** Sends orders under the lease of the fleet's duties. */
export interface EngineOrderCalls {
    /** @returns undefined if this process may not act now, and the order was not sent */
    order(order: EngineOrder): Promise<DutyAnswer | undefined>;
    /** The lease, if this process holds it. */
    current(): Lease | undefined;
}

/** A service whose engines are ordered. */
export interface ScaledService {
    readonly name: string;
    readonly scaling: EngineScaling;
}

/** The work of a service as this process knows it. */
export interface KnownWork extends SampledWork {
    /** Counts the prefill engines whose memory the shared parts of prompts in use would fill; takes longer. */
    countCacheEngines(): number;
}

/** What `orderEngines` needs. */
export interface OrderEnginesOptions {
    readonly listServices: () => readonly ScaledService[];
    /** All listed engines of a service, leaving or not. */
    readonly listEngines: (service: string) => readonly ListedTarget[];
    /** The work of all processes; undefined while this process does not know it. */
    readonly measureWork: (service: string) => KnownWork | undefined;
    /** Number of processes by zone, which accept the callers of their zone. */
    readonly countProcesses: () => ReadonlyMap<string, number>;
    readonly calls: EngineOrderCalls;
    /** Whether this process may order: it does not stop and is not cut off from most targets. */
    readonly mayOrder: () => boolean;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** Ordered and listed engines of one kind in one zone. */
export interface EngineNumbers {
    readonly service: string;
    readonly zone: string;
    readonly kind: EngineKind;
    readonly desired: number;
    readonly listed: number;
}
