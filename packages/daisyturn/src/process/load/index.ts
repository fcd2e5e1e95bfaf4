/**
 * Estimates of the load and the prefix caches of engines, from their reports, this process's own work and the digests
 * of its peers.
 *
 * @module
 */

export * from "./cacheIndex.js";
export * from "./cacheView.js";
export * from "./createLoadView.js";
export * from "./engineLoad.js";
export * from "./engineRates.js";
export { createLineFit, type LineFit } from "./lineFit.js";
export * from "./outputLengths.js";
export * from "./transferRate.js";
