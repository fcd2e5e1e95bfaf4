/**
 * Which configuration is in force, how a change is accepted, spread and taken over.
 *
 * @module
 */

export * from "./configurationKeeper.js";
export * from "./configurationRows.js";
export * from "./configurationTiming.js";
export * from "./createConfigurationKeeper.js";
export * from "./fleetConfigurationKeeper.js";
