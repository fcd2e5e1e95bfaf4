/**
 * Which targets there are, and whether new work may go to one at this moment.
 *
 * @module
 */

export * from "./createTargetDirectory.js";
export * from "./createTargetGate.js";
export * from "./quiesceMessages.js";
export * from "./targetDirectory.js";
export * from "./targetGate.js";
