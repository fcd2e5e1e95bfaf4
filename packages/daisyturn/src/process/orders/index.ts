/**
 * Changes of engines under the lease, recorded before they are sent and settled after.
 *
 * @module
 */

export * from "./controller.js";
export * from "./createController.js";
export * from "./createOrderCommands.js";
export * from "./orderContext.js";
export * from "./rows/createOrderRecords.js";
export * from "./rows/orderRows.js";
export * from "./steps/evaluateChangeGoal.js";
