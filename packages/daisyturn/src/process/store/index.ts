/**
 * Transactions on the platform's table service, each with a verdict on whether it may have been carried out.
 *
 * @module
 */

export * from "./createStoreClient.js";
export * from "./storeClient.js";
export * from "./writeMarker.js";
