/**
 * What a process does while the targets of a service have less capacity than its callers request.
 *
 * @module
 */

export * from "./createPlainShortage.js";
