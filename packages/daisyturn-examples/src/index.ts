export { holdLeaseInTurn, type LeaseExampleResult } from "./holdLease.js";
export { planPrefillEngines } from "./planRoles.js";
export { writeRowOnce } from "./writeConditionally.js";
