/** A stand-in for the weight store: serves model weights at a limited rate. */
import * as http from 'node:http';
import * as net from 'node:net';

export type WeightStoreOptions = {
  host: string;
  port: number;
  /** Maximum number of calls that are served per second. */
  callsPerSecond: number;
  /** Size of each weights file, bytes. */
  weightBytes: number;
};

export const DEFAULT_WEIGHT_STORE_OPTIONS: WeightStoreOptions = {
  host: '127.0.0.1',
  port: 0,
  callsPerSecond: 5,
  weightBytes: 65_536,
};

export type WeightStore = { port: number; stop: () => void };

const WEIGHTS_PATTERN = /^\/v1\/weights\/([^/?]+)$/;
const SECOND_MS = 1000;

/** Starts a weight store. */
export async function startWeightStore(given: Partial<WeightStoreOptions>): Promise<WeightStore> {
  const options = { ...DEFAULT_WEIGHT_STORE_OPTIONS, ...given };
  let servedInSecond = 0;
  const timer = setInterval(() => {
    servedInSecond = 0;
  }, SECOND_MS);
  const server = http.createServer((request, response) => {
    if (!WEIGHTS_PATTERN.test(request.url ?? '')) {
      response.writeHead(404).end();
      return;
    }
    servedInSecond += 1;
    if (servedInSecond > options.callsPerSecond) {
      response.writeHead(429, { 'retry-after': '1' }).end();
      return;
    }
    const headers = { 'content-type': 'application/octet-stream' };
    response.writeHead(200, headers).end(Buffer.alloc(options.weightBytes));
  });
  await new Promise<void>((resolve) => {
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    stop: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
