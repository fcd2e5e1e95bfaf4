// Replaces undici in the bundle by the part that the entry process uses. The index of undici also loads fetch,
// WebSocket, caches and mocks.
const api = require("undici/lib/api");
const buildConnector = require("undici/lib/core/connect");
const Client = require("undici/lib/dispatcher/client");
const Dispatcher = require("undici/lib/dispatcher/dispatcher");
const Pool = require("undici/lib/dispatcher/pool");

Object.assign(Dispatcher.prototype, api);
module.exports = { buildConnector, Client, Dispatcher, Pool };
