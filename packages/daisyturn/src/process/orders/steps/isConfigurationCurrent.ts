import type { OrderContext } from "../orderContext.js";
import type { EngineRows } from "../rows/createOrderRecords.js";

/** Whether the configuration in force in this process is the newest that the fleet has accepted. */
export function isConfigurationCurrent(context: OrderContext, rows: EngineRows): boolean {
    return rows.headGeneration === context.configurationManager.current().generation;
}
