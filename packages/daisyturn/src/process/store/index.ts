/**
 * Client of the platform's table service. Its answer to a transaction says whether the transaction may have committed.
 *
 * @module
 */

export * from "./createStoreClient.js";
export * from "./storeClient.js";
export * from "./writeMarker.js";
