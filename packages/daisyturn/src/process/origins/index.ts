/**
 * Origins of streams: which software version began a stream, so that no other one continues it.
 *
 * @module
 */

export * from "./createStreamOrigins.js";
export * from "./createVersionHistory.js";
export * from "./createVersionRecord.js";
