/**
 * Public interface of the gateway daemon: how to start it, and what a platform adapter implements.
 */
export * from './app.js';
export * from './gateway-settings.js';
export * from './store-codec.js';
export type { OutgoingRequest } from './backend-attempt.js';
export type { UnknownName } from './unknown-names.js';
export * from './wire-protocol.js';
