/** Idle connections to backend servers, by address. */
import type * as backendConnections from './backend-connections.js';

type Connection = backendConnections.BackendConnection;

export type IdleConnections = Map<string, Connection[]>;

/** Adds a connection; the one added last is taken first. */
export function addIdle(idle: IdleConnections, address: string, connection: Connection): void {
  const connections = idle.get(address) ?? [];
  connections.push(connection);
  idle.set(address, connections);
}

/** Removes a connection if it is there. */
export function removeIdle(idle: IdleConnections, address: string, connection: Connection): void {
  const connections = idle.get(address) ?? [];
  const index = connections.indexOf(connection);
  if (index !== -1) {
    connections.splice(index, 1);
  }
}

/** Takes a suitable connection out, if there is one. */
export function takeIdle(
  idle: IdleConnections,
  address: string,
  isSuitable: (connection: Connection) => boolean,
): Connection | undefined {
  const connection = idle.get(address)?.findLast(isSuitable);
  if (connection !== undefined) {
    removeIdle(idle, address, connection);
  }
  return connection;
}

/** Closes the connection that has been idle for longest, if there is one. */
export function closeOldest(idle: IdleConnections, address: string): void {
  idle.get(address)?.shift()?.client.destroy();
}

/** Closes all connections to an address. */
export function closeIdle(idle: IdleConnections, address: string): void {
  const connections = idle.get(address) ?? [];
  idle.delete(address);
  connections.forEach(({ client }) => client.destroy());
}
