/**
 * The lease of the one process that may decide for the fleet.
 *
 * @module
 */

export * from "./createLeaseManager.js";
export * from "./lease.js";
export * from "./leaseRows.js";
export * from "./leaseTransactions.js";
