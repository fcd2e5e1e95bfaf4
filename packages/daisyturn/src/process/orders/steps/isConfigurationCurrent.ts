import type { OrderContext } from "../orderContext.js";
import type { EngineRows } from "../rows/createOrderRecords.js";

/** Whether the active configuration of this process is the newest one that the fleet has accepted. */
export function isConfigurationCurrent(context: OrderContext, rows: EngineRows): boolean {
    return rows.headGeneration === context.configurationManager.current().generation;
}
