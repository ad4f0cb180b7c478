/** Small stand-ins for tests and examples; never imported by the product. */
export * from './engine.js';
export * from './example-key.js';
export * from './plain-service.js';
export * from './platform.js';
export * from './weight-store.js';
