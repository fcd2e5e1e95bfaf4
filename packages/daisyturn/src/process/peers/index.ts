/**
 * Messages between processes: identities of peers, and the exchanges of digests and of load reports.
 *
 * @module
 */

export * from "./createDigestExchange.js";
export * from "./dialingPeerNetwork.js";
export * from "./loadExchange.js";
export * from "./peerNetwork.js";
export * from "./processIdentitySchema.js";
export * from "./singleProcess.js";
