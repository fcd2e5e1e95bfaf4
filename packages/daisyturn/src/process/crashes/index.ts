/**
 * Evidence on requests that end the targets that run them.
 *
 * @module
 */

export * from "./createCrashDetector.js";
export * from "./createCrashEvidence.js";
export * from "./createCrashGuard.js";
export * from "./guardedCall.js";
export * from "./shareCrashEvidence.js";
