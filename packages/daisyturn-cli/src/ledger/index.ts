export { collectCalls, type LoggedCall } from "./collectCalls.js";
export { type LedgerRow, summarizeCalls } from "./summarizeCalls.js";
