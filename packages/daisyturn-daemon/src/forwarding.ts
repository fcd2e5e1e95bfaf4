export { createForwardingProcess, type ForwardingProcess } from "./forwarding/createForwardingProcess.js";
export type { ForwardingAdapters } from "./forwarding/forwardingAdapters.js";
export { type ForwardingSettings, PlacementPolicy } from "./forwarding/forwardingSettings.js";
export { untilStopSignal } from "./untilStopSignal.js";
