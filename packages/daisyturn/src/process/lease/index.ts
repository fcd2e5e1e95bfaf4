/**
 * Lease of the one process that makes decisions for the fleet, with fencing numbers.
 *
 * @module
 */

export * from "./createLeaseManager.js";
export * from "./lease.js";
export * from "./leaseRows.js";
export * from "./leaseTransactions.js";
