/**
 * Forwarded calls: targets and their load, placement, stages, and the coordination between processes.
 *
 * @module
 */

export * from "./coordination/coordinate.js";
export * from "./coordination/createRelayedTables.js";
export * from "./coordination/createTableReader.js";
export type { NotificationReceiver, PeerExchange } from "./coordination/exchange/peerExchange.js";
export type { FoundOrigin } from "./coordination/origins/createOriginPublisher.js";
export * from "./coordination/peerChannel.js";
export * from "./createSizeCounts.js";
export * from "./experiments/mechanism.js";
export * from "./experiments/switchOffViews.js";
export { EngineKind, engineKinds } from "./fleet/fleetNumbers.js";
export * from "./fleet/measureWork.js";
export * from "./fleet/orderEngines.js";
export * from "./fleet/orderEnginesOptions.js";
export * from "./forwardingMetrics.js";
export * from "./limits/createArrivalCounts.js";
export * from "./limits/createConnectionGuard.js";
export * from "./limits/createLongPrefillTimes.js";
export * from "./limits/createOverloadGuard.js";
export * from "./limits/createSizeFairness.js";
export * from "./limits/measureSize.js";
export * from "./limits/requests/createTargetLimits.js";
export * from "./links/createRelays.js";
export * from "./links/createTargetLinks.js";
export * from "./placement/callPlacement.js";
export * from "./placement/createCallPlacement.js";
export * from "./placement/createLeastRunningPlacement.js";
export * from "./placement/decidePrompt.js";
export { normalizePrefillMilliseconds } from "./placement/estimatePrefill.js";
export { countSharedTokens } from "./placement/groupEngines.js";
export * from "./reportArrivals.js";
export * from "./reportSizeCounts.js";
export * from "./retries/createWindowedRetryBudget.js";
export * from "./speeds/createTargetSpeeds.js";
export * from "./stages/changeStages.js";
export * from "./stages/createStageReturns.js";
export * from "./stages/planStage.js";
export * from "./targets/createClosedTargets.js";
export * from "./targets/createForwardingConfigurationManager.js";
export * from "./targets/createTargetAvailability.js";
export * from "./targets/createTargetContinuity.js";
export * from "./targets/createTargetHealth.js";
export * from "./targets/createTargetList.js";
export * from "./targets/watchTable.js";
export * from "./views/createCacheEstimates.js";
export * from "./views/createEventIntervals.js";
export * from "./views/createPrefillDemand.js";
export * from "./views/createPrefillRates.js";
export * from "./views/createRunDurations.js";
export * from "./views/createSlowdownEstimates.js";
export * from "./views/createTargetLoads.js";
export * from "./views/createTargetViews.js";
export * from "./views/workUnderWay.js";
