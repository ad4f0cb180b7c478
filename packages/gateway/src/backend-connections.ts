/**
 * Connections to backend servers, one request at a time on each.
 *
 * A connection is used again only after a complete answer with a length and no
 * byte behind it. Bytes that come between two requests close it: the library
 * meets them without a request in hand.
 */
import * as undici from 'undici';

export type BackendConnection = {
  client: undici.Client;
  /** Answers that came whole. */
  answered: number;
  wasReset: () => boolean;
  /** Keeps the connection for the next request where the last one ended cleanly. */
  release: (isClean: boolean) => void;
};

export type BackendConnections = {
  /** Takes an idle connection to an address, or opens one. */
  take: (address: string) => BackendConnection;
  /** Closes idle connections to addresses that are no longer used. */
  closeOthers: (addresses: ReadonlySet<string>) => void;
  stop: () => void;
};

/**
 * Longest time to connect, milliseconds. Ways between failure domains take a few
 * milliseconds; a silent backend server must not hold a request for long.
 */
const CONNECT_TIMEOUT_MS = 400;
/**
 * Idle connections close after this, milliseconds, or a second before the time
 * that the backend server names. Shorter than usual idle limits, as a request
 * that meets the closing of its connection may have run.
 */
const IDLE_MS = 3000;
/** The same where the backend server names a time, milliseconds. */
const LONGEST_IDLE_MS = 30_000;

/** Opens a connection; its socket notes a reset before the library hears of it. */
function openConnection(
  address: string,
  forget: (connection: BackendConnection) => void,
  keep: (connection: BackendConnection) => void,
): BackendConnection {
  let reset = false;
  const connector = undici.buildConnector({ timeout: 0 });
  const client: undici.Client = new undici.Client(`http://${address}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: IDLE_MS,
    keepAliveMaxTimeout: LONGEST_IDLE_MS,
    connect: (options, callback) => {
      // The library's own timers for connections are up to a second late.
      const timer = setTimeout(
        () => client.destroy(new Error('connect-timeout')),
        CONNECT_TIMEOUT_MS,
      );
      connector(options, (...results) => {
        clearTimeout(timer);
        const socket = results[1];
        socket?.prependListener('error', () => {
          reset = true;
        });
        callback(...results);
      });
    },
  });
  const connection: BackendConnection = {
    client,
    answered: 0,
    wasReset: () => reset,
    release: (isClean) => {
      if (!isClean) {
        connection.answered = -1;
        client.destroy();
        return;
      }
      connection.answered += 1;
      keep(connection);
    },
  };
  client.on('disconnect', () => {
    forget(connection);
    client.destroy();
  });
  return connection;
}

/** Creates an empty set of connections. */
export function createBackendConnections(): BackendConnections {
  const idle = new Map<string, BackendConnection[]>();
  const listIdle = (address: string) => {
    const known = idle.get(address) ?? [];
    idle.set(address, known);
    return known;
  };
  const forget = (address: string, connection: BackendConnection) => {
    const known = listIdle(address);
    const index = known.indexOf(connection);
    if (index !== -1) {
      known.splice(index, 1);
    }
  };
  const closeAll = (address: string) => {
    const known = idle.get(address) ?? [];
    idle.delete(address);
    known.forEach(({ client }) => client.destroy());
  };
  return {
    take: (address) =>
      listIdle(address).pop() ??
      openConnection(
        address,
        (connection) => forget(address, connection),
        (connection) => {
          // A server that asked for the closing has closed the client by now.
          if (!connection.client.destroyed) {
            listIdle(address).push(connection);
          }
        },
      ),
    closeOthers: (addresses) =>
      [...idle.keys()].filter((address) => !addresses.has(address)).forEach(closeAll),
    stop: () => [...idle.keys()].forEach(closeAll),
  };
}
