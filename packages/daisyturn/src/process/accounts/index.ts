/**
 * Client accounts of forwarded calls: whether their keys are up to date, and how many calls they make.
 *
 * @module
 */

export * from "./createAccountCounts.js";
export * from "./createTableConfirmation.js";
