/** Stand-ins for tests and examples; production code never imports them. */
export * from './engine.js';
export * from './example-key.js';
export * from './plain-service.js';
export * from './platform.js';
export * from './weight-store.js';
