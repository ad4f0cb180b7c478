/** Code that the daemons share: logging, metrics, platform clients and links. */
export * from './client-error.js';
export * from './client-socket.js';
export * from './configuration-watch.js';
export * from './contained-events.js';
export * from './core-task.js';
export * from './document-receiver.js';
export * from './extra-response.js';
export * from './link-client.js';
export * from './link-server.js';
export * from './listening-socket.js';
export * from './logger.js';
export * from './metric-definitions.js';
export * from './metrics.js';
export * from './operator-server.js';
export * from './vm-list-poll.js';
