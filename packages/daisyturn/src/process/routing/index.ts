/**
 * Chooses the engines on which a request is prefilled and decoded.
 *
 * @module
 */

export * from "./createRouter.js";
export * from "./engineChoice.js";
export * from "./placementCost.js";
export * from "./router.js";
