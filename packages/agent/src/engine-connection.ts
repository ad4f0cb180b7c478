/**
 * Connections to an engine, one for each request.
 *
 * On a connection that is kept, a request may be sent just as the engine closes it, which looks like a
 * crash, and a late second response would pass for the response to the next request.
 */
import * as undici from 'undici';

export type EngineConnection = {
  client: undici.Client;
  /** Whether the connection broke; the HTTP library may take that for the end of a response. */
  wasReset: () => boolean;
};

export type EngineConnections = {
  /** Opens a connection, runs a task with it and closes it. */
  run: (task: (connection: EngineConnection) => Promise<void>) => Promise<void>;
  /** Closes all connections. */
  stop: () => void;
};

/** Opens a connection; listeners on its socket record a reset before the library handles it. */
function openConnection(engineUrl: string): EngineConnection {
  let isReset = false;
  const connector = undici.buildConnector({});
  const client = new undici.Client(new URL(engineUrl).origin, {
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: (options, callback) =>
      connector(options, (...results) => {
        results[1]?.prependListener('error', ({ syscall }: NodeJS.ErrnoException) => {
          // The library ends connections with errors of its own.
          isReset ||= syscall !== undefined;
        });
        results[1]?.prependListener('end', () => {
          // The runtime reports a reset that it reads together with the last bytes as a plain end;
          // after it the system knows no other side any more.
          isReset ||= results[1]?.remoteAddress === undefined;
        });
        callback(...results);
      }),
  });
  return { client, wasReset: () => isReset };
}

/** Creates the connections to one engine. */
export function createEngineConnections(engineUrl: string): EngineConnections {
  const open = new Set<undici.Client>();
  return {
    run: async (task) => {
      const connection = openConnection(engineUrl);
      open.add(connection.client);
      try {
        await task(connection);
      } finally {
        open.delete(connection.client);
        connection.client.destroy();
      }
    },
    stop: () => open.forEach((client) => client.destroy()),
  };
}
