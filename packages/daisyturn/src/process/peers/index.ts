/**
 * Messages between processes: who a peer is, and the two exchanges that other parts put their news into.
 *
 * @module
 */

export * from "./createDigestExchange.js";
export * from "./dialingPeerNetwork.js";
export * from "./loadExchange.js";
export * from "./peerNetwork.js";
export * from "./processIdentitySchema.js";
export * from "./singleProcess.js";
