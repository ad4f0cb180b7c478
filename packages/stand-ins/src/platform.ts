/**
 * A stand-in for the platform: the configuration service, whose documents can be
 * read and watched, and the list of VMs, which a real platform updates late.
 * Tests change both through the returned functions or the `/test/` paths, which
 * production code does not use.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as engine from './engine.js';

export type Vm = { address: string; state: 'live' | 'leaving' };

export type Platform = {
  port: number;
  publish: (service: string, json: string) => void;
  setVms: (vms: Vm[]) => void;
  /** During an outage every call gets status 503. */
  setOutage: (isOut: boolean) => void;
  countCalls: () => number;
  stop: () => void;
};

/** A long poll for a document newer than `newerThan`. */
type PendingWatch = { service: string; newerThan: number; response: http.ServerResponse };

type PlatformState = {
  documents: Map<string, string>;
  vms: Vm[];
  isOut: boolean;
  callCount: number;
  pendingWatches: Set<PendingWatch>;
};

const DOCUMENT_PATTERN = /^\/v1\/documents\/([^/?]+)/;
const TEST_PATTERN = /^\/test\/documents\/([^/?]+)/;
const JSON_TYPE = { 'content-type': 'application/json' };

/** Parses the version of a document's text; 0 where it has none. */
function readVersion(json: string): number {
  try {
    return (JSON.parse(json) as { version?: number }).version ?? 0;
  } catch {
    return 0;
  }
}

/** Completes a watch if there is a newer document; returns whether it did. */
function completeWatch(state: PlatformState, watch: PendingWatch): boolean {
  const json = state.documents.get(watch.service);
  if (json === undefined || readVersion(json) <= watch.newerThan) {
    return false;
  }
  watch.response.writeHead(200, JSON_TYPE).end(json);
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
  const watch = { service, newerThan, response };
  if (completeWatch(state, watch)) {
    return;
  }
  state.pendingWatches.add(watch);
  const timer = setTimeout(() => response.writeHead(204).end(), waitMs);
  response.on('close', () => {
    clearTimeout(timer);
    state.pendingWatches.delete(watch);
  });
}

/** Publishes a document and completes the watches that wait for it. */
function publishDocument(state: PlatformState, service: string, json: string): void {
  state.documents.set(service, json);
  [...state.pendingWatches]
    .filter((watch) => watch.service === service && completeWatch(state, watch))
    .forEach((watch) => state.pendingWatches.delete(watch));
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
  state.callCount += 1;
  if (state.isOut) {
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

/** Starts a platform. */
export async function startPlatform(host = '127.0.0.1', port = 0): Promise<Platform> {
  const state: PlatformState = {
    documents: new Map(),
    vms: [],
    isOut: false,
    callCount: 0,
    pendingWatches: new Set(),
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
    setOutage: (isOut) => {
      state.isOut = isOut;
      state.pendingWatches.forEach((watch) => isOut && watch.response.destroy());
    },
    countCalls: () => state.callCount,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
