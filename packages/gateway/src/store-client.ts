/** The one client of the platform's store: calls with a bound on their time. */
import * as undici from 'undici';
import type * as gatewaySettings from './gateway-settings.js';

export type StoreAnswer = {
  status: number;
  /** By name in lower case; the first value of each. */
  headers: ReadonlyMap<string, string>;
  body: string;
};

export type StoreClient = {
  /** Calls the store; fails where it does not answer within the time. */
  call: (path: string, timeoutMs: number) => Promise<StoreAnswer>;
  stop: () => void;
};

/** Longest time to connect, milliseconds. */
const CONNECT_TIMEOUT_MS = 500;

/** Gets the first value of a header. */
function toFirst(value: string | string[] | undefined): string {
  return (Array.isArray(value) ? value[0] : value) ?? '';
}

/**
 * Creates a client with one connection.
 *
 * A connection may fall silent for good while new ones work. So a call that
 * fails for whatever reason takes its connection with it.
 */
export function createStoreClient(store: gatewaySettings.ListenAddress): StoreClient {
  const open = () =>
    new undici.Client(`http://${store.host}:${store.port}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  let client = open();
  return {
    call: async (path, timeoutMs) => {
      const used = client;
      const timer = setTimeout(() => used.destroy(new Error('store-timeout')), timeoutMs);
      try {
        const response = await used.request({ path, method: 'GET' });
        const headers = new Map(
          Object.entries(response.headers).map(([name, value]) => [name, toFirst(value)]),
        );
        return { status: response.statusCode, headers, body: await response.body.text() };
      } catch (error) {
        used.destroy();
        client = client === used ? open() : client;
        throw error;
      } finally {
        clearTimeout(timer);
      }
    },
    stop: () => {
      client.destroy();
    },
  };
}
