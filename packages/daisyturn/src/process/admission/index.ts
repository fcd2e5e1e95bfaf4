/**
 * Decides whether a request may start, and when a refused request can be retried.
 *
 * @module
 */

export * from "./admission.js";
export * from "./createAdmission.js";
export * from "./createRetryBudget.js";
