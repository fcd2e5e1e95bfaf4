/**
 * Forwarded calls: targets and their load, placement, stages, and what processes tell each other of it.
 *
 * @module
 */

export * from "./callPlacement.js";
export * from "./changeStages.js";
export * from "./createCacheBeliefs.js";
export * from "./createCallPlacement.js";
export * from "./createClosedTargets.js";
export * from "./createEventPace.js";
export * from "./createForwardingKeeper.js";
export * from "./createLeastRunningPlacement.js";
export * from "./createOverloadGuard.js";
export * from "./createPaceView.js";
export * from "./createReadingDemand.js";
export * from "./createTargetHealth.js";
export * from "./createTargetList.js";
export * from "./createTargetLoads.js";
export * from "./createTargetViews.js";
export * from "./createWindowedRetryBudget.js";
export * from "./followTable.js";
export * from "./forwardingMetrics.js";
export * from "./planStage.js";
export * from "./shareLoads.js";
