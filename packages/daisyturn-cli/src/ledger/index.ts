export { collectCalls, type LoggedCall } from "./collectCalls.js";
export * from "./collectDuties.js";
export { type LedgerRow, summarizeByAccount, summarizeCalls } from "./summarizeCalls.js";
export { type SizeRow, sumSizes } from "./sumSizes.js";
