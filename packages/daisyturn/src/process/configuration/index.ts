/**
 * The active configuration of a process: how changes are accepted, distributed among the processes and adopted.
 *
 * @module
 */

export * from "./configurationManager.js";
export * from "./configurationRows.js";
export * from "./configurationTiming.js";
export * from "./createConfigurationManager.js";
export * from "./fleetConfigurationManager.js";
