/** Small stand-ins for tests and examples; never imported by the product. */
export * from './engine.js';
export * from './platform.js';
