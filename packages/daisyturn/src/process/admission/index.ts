/**
 * Whether a request may start, and when it should come back if not.
 *
 * @module
 */

export * from "./admission.js";
export * from "./createAdmission.js";
export * from "./createRetryBudget.js";
