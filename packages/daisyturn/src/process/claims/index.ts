/**
 * Claims of non-idempotent calls: stored rows that prevent a call from running twice when its process ends midway.
 *
 * @module
 */

export * from "./claimExaminer.js";
export * from "./claimInquiry.js";
export * from "./claimLimits.js";
export * from "./claimPruner.js";
export * from "./claimRecorder.js";
export * from "./claimRow.js";
export * from "./claimWriter.js";
export * from "./ownClaims.js";
export * from "./waitUntilResolved.js";
