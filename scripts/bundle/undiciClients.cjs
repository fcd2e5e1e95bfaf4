// The part of undici that the entry process uses. Its index also loads fetch, web sockets, caches and mocks.
const api = require("undici/lib/api");
const Client = require("undici/lib/dispatcher/client");
const Dispatcher = require("undici/lib/dispatcher/dispatcher");
const Pool = require("undici/lib/dispatcher/pool");

Object.assign(Dispatcher.prototype, api);
module.exports = { Client, Dispatcher, Pool };
