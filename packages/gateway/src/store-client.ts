/** HTTP client for the platform's store; every call has a timeout. */
import * as undici from 'undici';
import * as callTimer from './call-timer.js';
import type * as gatewaySettings from './gateway-settings.js';

export type StoreResponse = {
  status: number;
  /** First value of each header, by its name in lower case. */
  headers: ReadonlyMap<string, string>;
  body: string;
  /** The body is longer than allowed; it was not read to its end. */
  isTooLong: boolean;
};

/** Limits of one call. */
export type StoreCallLimits = callTimer.CallLimits & {
  /** Maximum length of the body, bytes; undefined for no limit. */
  maxBytes?: number;
};

export type StoreClient = {
  /** Calls the store; fails if the response exceeds a limit. */
  call: (path: string, limits: StoreCallLimits) => Promise<StoreResponse>;
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

/**
 * Reads a response body as text until `noteBytes`, which is called with the length of each part,
 * returns false. The connection is closed if the body has not been read to its end.
 */
async function readBody(
  body: undici.Dispatcher.ResponseData['body'],
  noteBytes: (count: number) => boolean,
): Promise<Pick<StoreResponse, 'body' | 'isTooLong'>> {
  const parts: Buffer[] = [];
  for await (const part of body as AsyncIterable<Buffer>) {
    parts.push(part);
    if (!noteBytes(part.length)) {
      return { body: '', isTooLong: true };
    }
  }
  return { body: Buffer.concat(parts).toString(), isTooLong: false };
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
    call: async (path, limits) => {
      const used = client;
      receivedBytes = 0;
      let isOpen = true;
      const timer = callTimer.startCallTimer(limits, () => {
        if (isOpen) {
          used.destroy(new Error('store-timeout'));
        }
      });
      try {
        const response = await used.request({ path, method: 'GET' });
        timer.noteProgress();
        const headers = new Map(
          Object.entries(response.headers).map(([name, value]) => [name, toFirstValue(value)]),
        );
        const read = await readBody(response.body, (count) => {
          receivedBytes += count;
          timer.noteProgress();
          return receivedBytes <= (limits.maxBytes ?? Infinity);
        });
        return { status: response.statusCode, headers, ...read };
      } catch (error) {
        used.destroy();
        client = client === used ? open() : client;
        throw error;
      } finally {
        isOpen = false;
        timer.stop();
      }
    },
    getReceivedBytes: () => receivedBytes,
    stop: () => {
      client.destroy();
    },
  };
}
