import type { DutyAnswer, EngineOrder, UsageReport } from "../../ports/duties/fleetDuties.js";
import type { Lease } from "../lease/index.js";

/** Calls to the platform under the lease of the fleet's duties. */
export interface DutyCalls {
    /**
     * Orders engines. Orders for the same kind of engine in the same zone of a service are sent one after the other.
     *
     * @returns undefined if this process may not act now; nothing was sent then
     */
    order(order: EngineOrder): Promise<DutyAnswer | undefined>;
    /** @returns undefined if this process may not act now; nothing was sent then */
    reportUsage(report: UsageReport): Promise<DutyAnswer | undefined>;
    /** Returns the lease if this process holds it and has not given it up. */
    current(): Lease | undefined;
}
