/**
 * Plans how many engines prefill and how many decode.
 *
 * @module
 */

export * from "./arrivalMeter.js";
export * from "./chooseRoleSplit.js";
export * from "./createRolePlanner.js";
export * from "./rolePool.js";
