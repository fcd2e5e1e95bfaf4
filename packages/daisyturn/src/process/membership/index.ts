/**
 * Failure detection and membership among the processes of the cell: heartbeats, suspicion and proofs of an end.
 *
 * @module
 */

export * from "./createHeartbeats.js";
export * from "./createMembership.js";
export * from "./heartbeatMessage.js";
