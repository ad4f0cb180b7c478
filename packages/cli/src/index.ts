/** The toucanproxy command line. */
export * from './app.js';
export * from './exit-code.js';
