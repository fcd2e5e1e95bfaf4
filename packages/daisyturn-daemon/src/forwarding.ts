export { createForwardingProcess, type ForwardingProcess } from "./forwarding/createForwardingProcess.js";
export type { ForwardingAdapters } from "./forwarding/forwardingAdapters.js";
export { type ForwardingSettings, PlacementPolicy } from "./forwarding/forwardingSettings.js";
export { awaitSettings } from "./life/awaitSettings.js";
export { createProcessLife, type ProcessLife } from "./life/createProcessLife.js";
export { createProcessLog, type ProcessLog } from "./life/createProcessLog.js";
export { ProcessPhase } from "./life/processPhase.js";
