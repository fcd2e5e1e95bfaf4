import type { EngineNumbers, EngineOrdering } from "daisyturn/forwarding";
import type { ForwardingProcessParts } from "./createForwardingParts.js";
import { type DutiesOptions, type RunningDuties, startDuties } from "./startDuties.js";
import { type EngineOrdersOptions, startEngineOrders } from "./startEngineOrders.js";

/** What {@link startFleetDuties} needs. */
export interface FleetDutiesOptions extends Omit<DutiesOptions, "coordination" | "parts"> {
    readonly parts: ForwardingProcessParts;
    readonly coordination: DutiesOptions["coordination"] & EngineOrdersOptions["coordination"];
    /** Whether this process may order engines at the moment. */
    readonly mayOrder: () => boolean;
    /** Aborted when the process ends. */
    readonly signal: AbortSignal;
}

/** The running duties of this process, and the engines that it has ordered. */
export interface RunningFleetDuties extends Pick<RunningDuties, "stop"> {
    listEngineNumbers(): readonly EngineNumbers[];
}

/**
 * Starts the part of this process in the duties of the fleet, and the orders of engines where they are one.
 *
 * @returns undefined if the settings name no duty
 */
export function startFleetDuties(options: FleetDutiesOptions): RunningFleetDuties | undefined {
    const duties = startDuties(options);
    if (!duties) {
        return undefined;
    }
    const ordering: EngineOrdering | undefined = options.settings.duties?.isScaling
        ? startEngineOrders({ ...options, calls: duties.calls })
        : undefined;
    return { stop: duties.stop, listEngineNumbers: () => ordering?.list() ?? [] };
}
