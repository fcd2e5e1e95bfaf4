/**
 * The controller: sends orders to engines while it holds the lease, records each order before it is sent and settles
 * it afterwards.
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
