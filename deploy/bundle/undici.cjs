/**
 * The part of the HTTP library that a gateway uses. Loading all of it takes 60 ms
 * of the processor at each start, in which callers find a closed port.
 */
const request = require('../../node_modules/undici/lib/api/api-request');
const buildConnector = require('../../node_modules/undici/lib/core/connect');
const Client = require('../../node_modules/undici/lib/dispatcher/client');
const Dispatcher = require('../../node_modules/undici/lib/dispatcher/dispatcher');

// As the library's own index does.
Dispatcher.prototype.request = request;

module.exports = { buildConnector, Client };
