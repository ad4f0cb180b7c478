/** The agent daemon. */
export * from './app.js';
