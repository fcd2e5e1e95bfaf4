export { drawTimeLine } from "./drawTimeLine.js";
export { createEventFilter, type EventFilter } from "./eventFilter.js";
export { formatEvent, formatFields } from "./formatEvent.js";
export { mergeEvents } from "./mergeEvents.js";
export { openLogs, standardInputName } from "./openLogs.js";
export { orderEvents } from "./orderEvents.js";
export { parseEventLine } from "./parseEventLine.js";
export { readEvents } from "./readEvents.js";
export type { LineProblem, TimedEvent } from "./timedEvent.js";
