/**
 * Adapters to the active targets, and the gate that decides whether new work may be sent to one.
 *
 * @module
 */

export * from "./createTargetDirectory.js";
export * from "./createTargetGate.js";
export * from "./quiesceMessages.js";
export * from "./targetDirectory.js";
export * from "./targetGate.js";
