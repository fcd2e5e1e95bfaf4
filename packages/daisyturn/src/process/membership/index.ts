/**
 * Which processes of the cell live, by heartbeats, suspicion and proofs of their end.
 *
 * @module
 */

export * from "./createHeartbeats.js";
export * from "./createMembership.js";
export * from "./heartbeatMessage.js";
