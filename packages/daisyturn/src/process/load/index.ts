/**
 * What engines are doing, as far as reports, this process's own work and its peers tell.
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
