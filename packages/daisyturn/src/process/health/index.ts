/**
 * Whom to leave alone: engines by evidence, VMs that are taken away, and this process itself.
 *
 * @module
 */

export * from "./createServiceGuard.js";
export * from "./createVmWatch.js";
export * from "./engineHealth.js";
