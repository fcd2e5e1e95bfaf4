/**
 * Quantities that all processes of the fleet share: each has one home process, which grants tokens of it.
 *
 * @module
 */

export * from "./createQuotas.js";
export * from "./createTargetQuotas.js";
