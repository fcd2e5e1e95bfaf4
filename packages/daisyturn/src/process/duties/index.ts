/**
 * Duties of one process for the whole fleet: calls that the platform accepts from one process at a time.
 *
 * @module
 */

export * from "./createDutyHolder.js";
export * from "./dutyCalls.js";
export * from "./usage/createUsageExchange.js";
export * from "./usage/createUsageReporter.js";
