/**
 * Which configuration is in force, how a change is accepted, spread and taken over.
 *
 * @module
 */

export * from "./configurationManager.js";
export * from "./configurationRows.js";
export * from "./configurationTiming.js";
export * from "./createConfigurationManager.js";
export * from "./fleetConfigurationManager.js";
