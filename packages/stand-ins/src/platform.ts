/**
 * A stand-in for the platform: the configuration service, which can only be
 * read and watched, and the lagging list of VMs. What a test publishes it sets
 * through the returned functions or the `/test/` paths, never the product.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as engine from './engine.js';

export type Vm = { address: string; state: 'live' | 'leaving' };

export type Platform = {
  port: number;
  publish: (service: string, json: string) => void;
  setVms: (vms: Vm[]) => void;
  /** While out, every call is answered 503. */
  setOutage: (out: boolean) => void;
  countCalls: () => number;
  stop: () => void;
};

type Waiter = { service: string; newerThan: number; response: http.ServerResponse };

type PlatformState = {
  documents: Map<string, string>;
  vms: Vm[];
  out: boolean;
  calls: number;
  waiters: Set<Waiter>;
};

const DOCUMENT_PATTERN = /^\/v1\/documents\/([^/?]+)/;
const TEST_PATTERN = /^\/test\/documents\/([^/?]+)/;
const JSON_TYPE = { 'content-type': 'application/json' };

/** Reads the version of a document's text; 0 where it has none. */
function readVersion(json: string): number {
  try {
    return (JSON.parse(json) as { version?: number }).version ?? 0;
  } catch {
    return 0;
  }
}

/** Answers a waiter where there is a newer document. */
function answerNewer(state: PlatformState, waiter: Waiter): boolean {
  const json = state.documents.get(waiter.service);
  if (json === undefined || readVersion(json) <= waiter.newerThan) {
    return false;
  }
  waiter.response.writeHead(200, JSON_TYPE).end(json);
  return true;
}

/** Serves a read or a watch of one document. */
function serveDocument(
  state: PlatformState,
  service: string,
  url: URL,
  response: http.ServerResponse,
): void {
  const newerThan = Number(url.searchParams.get('newer_than') ?? 0);
  const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
  const waiter = { service, newerThan, response };
  if (answerNewer(state, waiter)) {
    return;
  }
  state.waiters.add(waiter);
  const timer = setTimeout(() => response.writeHead(204).end(), waitMs);
  response.on('close', () => {
    clearTimeout(timer);
    state.waiters.delete(waiter);
  });
}

/** Puts a document in the service and answers those who wait for it. */
function publishDocument(state: PlatformState, service: string, json: string): void {
  state.documents.set(service, json);
  [...state.waiters]
    .filter((waiter) => waiter.service === service && answerNewer(state, waiter))
    .forEach((waiter) => state.waiters.delete(waiter));
}

/** Serves one call. */
async function serve(
  state: PlatformState,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://platform');
  const testService = TEST_PATTERN.exec(url.pathname)?.[1];
  if (testService !== undefined) {
    publishDocument(state, testService, await engine.readText(request));
    response.writeHead(204).end();
    return;
  }
  state.calls += 1;
  if (state.out) {
    response.writeHead(503).end();
    return;
  }
  const service = DOCUMENT_PATTERN.exec(url.pathname)?.[1];
  if (service !== undefined) {
    serveDocument(state, service, url, response);
    return;
  }
  response.writeHead(200, JSON_TYPE).end(JSON.stringify({ vms: state.vms }));
}

/** Starts the platform. */
export async function startPlatform(host = '127.0.0.1', port = 0): Promise<Platform> {
  const state: PlatformState = {
    documents: new Map(),
    vms: [],
    out: false,
    calls: 0,
    waiters: new Set(),
  };
  const server = http.createServer((request, response) => {
    serve(state, request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(port, host, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    publish: (service, json) => publishDocument(state, service, json),
    setVms: (vms) => {
      state.vms = vms;
    },
    setOutage: (out) => {
      state.out = out;
      state.waiters.forEach((waiter) => out && waiter.response.destroy());
    },
    countCalls: () => state.calls,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
