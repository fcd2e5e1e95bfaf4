/**
 * Health of the engines, VMs that the platform is about to remove, and whether this process itself is in service.
 *
 * @module
 */

export * from "./createServiceGuard.js";
export * from "./createVmWatch.js";
export * from "./engineHealth.js";
