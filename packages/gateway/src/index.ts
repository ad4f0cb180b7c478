/** The gateway daemon. */
export * from './app.js';
export * from './gateway-settings.js';
export * from './store-codec.js';
export type { UnknownName } from './unknown-names.js';
export * from './wire-protocol.js';
