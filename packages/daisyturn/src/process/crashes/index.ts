/**
 * Evidence on requests that end the targets that run them.
 *
 * @module
 */

export * from "./createCrashEvidence.js";
