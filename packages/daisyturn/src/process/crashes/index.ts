/**
 * Evidence on requests, and on parts of their prompts, that end the targets that run them.
 *
 * @module
 */

export * from "./crashRecord.js";
export * from "./createCrashDetector.js";
export * from "./createCrashEvidence.js";
export * from "./createCrashGuard.js";
export * from "./guardedCall.js";
export * from "./recordEntry.js";
export * from "./shareCrashEvidence.js";
