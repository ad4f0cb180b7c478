/** The entry daemon. */
export * from './app.js';
