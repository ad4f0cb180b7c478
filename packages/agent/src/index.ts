/** The agent daemon. */
export * from './app.js';
export * from './engine-client.js';
export * from './engine-probe.js';
