/** HTTP client for the platform's store; every call has a timeout. */
import * as undici from 'undici';
import type * as gatewaySettings from './gateway-settings.js';

export type StoreResponse = {
  status: number;
  /** First value of each header, by its name in lower case. */
  headers: ReadonlyMap<string, string>;
  body: string;
};

export type StoreClient = {
  /** Calls the store; fails if the response does not arrive within the timeout. */
  call: (path: string, timeoutMs: number) => Promise<StoreResponse>;
  /** Returns the number of body bytes that the latest call has received. */
  getReceivedBytes: () => number;
  stop: () => void;
};

/** Timeout for connecting, milliseconds. */
const CONNECT_TIMEOUT_MS = 500;

/** Returns the first value of a header; an empty string if it has none. */
function toFirstValue(value: string | string[] | undefined): string {
  return (Array.isArray(value) ? value[0] : value) ?? '';
}

/** Reads a response body as text; reports the number of bytes of each chunk. */
async function readBody(
  body: undici.Dispatcher.ResponseData['body'],
  noteBytes: (count: number) => void,
): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of body as AsyncIterable<Buffer>) {
    chunks.push(chunk);
    noteBytes(chunk.length);
  }
  return Buffer.concat(chunks).toString();
}

/**
 * Creates a client with one connection.
 *
 * A connection may stop responding permanently while new connections work. Therefore any failed
 * call closes its connection, and the next call opens a new one.
 */
export function createStoreClient(store: gatewaySettings.ListenAddress): StoreClient {
  const open = () =>
    new undici.Client(`http://${store.host}:${store.port}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  let client = open();
  let receivedBytes = 0;
  return {
    call: async (path, timeoutMs) => {
      const used = client;
      receivedBytes = 0;
      const timer = setTimeout(() => used.destroy(new Error('store-timeout')), timeoutMs);
      try {
        const response = await used.request({ path, method: 'GET' });
        const headers = new Map(
          Object.entries(response.headers).map(([name, value]) => [name, toFirstValue(value)]),
        );
        const body = await readBody(response.body, (count) => {
          receivedBytes += count;
        });
        return { status: response.statusCode, headers, body };
      } catch (error) {
        used.destroy();
        client = client === used ? open() : client;
        throw error;
      } finally {
        clearTimeout(timer);
      }
    },
    getReceivedBytes: () => receivedBytes,
    stop: () => {
      client.destroy();
    },
  };
}
