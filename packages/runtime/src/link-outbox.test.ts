import * as assert from 'node:assert/strict';
import * as http2 from 'node:http2';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import * as schema from '@toucanproxy/schema';
import * as linkClient from './link-client.js';
import * as linkOutbox from './link-outbox.js';
import * as linkServer from './link-server.js';

const MAX_WAITING_BYTES = 256 * 1024;
const CHUNK_BYTES = 64 * 1024;

type Signal<T> = { promise: Promise<T>; fulfil: (value: T) => void };

/** Creates a promise together with the function that fulfils it. */
function createSignal<T>(): Signal<T> {
  const signal: Partial<Signal<T>> = {};
  signal.promise = new Promise((resolve) => {
    signal.fulfil = resolve;
  });
  return signal as Signal<T>;
}

/** Builds a message of the entry that carries a chunk. */
function buildOffer(): schema.EntryMessage {
  const value = schema.create(schema.OfferSchema, { payload: new Uint8Array(CHUNK_BYTES) });
  return schema.create(schema.EntryMessageSchema, { body: { case: 'offer', value } });
}

nodeTest.test('entry closes the link to an agent that does not read', async (context) => {
  // An agent hangs while its connection stays open. The entry queues offers up to the limit, then
  // closes the link instead of running out of memory.
  const sessions = new Set<http2.ServerHttp2Session>();
  const server = http2.createServer((request) => request.pause());
  server.on('session', (session) => sessions.add(session));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    sessions.forEach((session) => session.destroy());
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  const ended = createSignal<void>();
  const client = linkClient.openLinkClient({
    address: `127.0.0.1:${port}`,
    receive: () => undefined,
    onClosed: () => ended.fulfil(),
    maxWaitingBytes: MAX_WAITING_BYTES,
  });
  const timer = setInterval(() => client.send(buildOffer()), 1);
  context.after(() => clearInterval(timer));
  await ended.promise;
});

nodeTest.test('agent closes the link to an entry that does not read', async (context) => {
  // An entry hangs while the agent sends it a response. The agent queues parts up to the limit,
  // then closes the link; it keeps the response itself for the next link.
  const opened = createSignal<number>();
  const ended = createSignal<number>();
  const server = await linkServer.startLinkServer({
    host: '127.0.0.1',
    port: 0,
    onOpened: opened.fulfil,
    receive: () => undefined,
    onClosed: ended.fulfil,
    maxWaitingBytes: MAX_WAITING_BYTES,
  });
  const baseUrl = `http://127.0.0.1:${server.port}`;
  const sessionManager = new connectNode.Http2SessionManager(baseUrl);
  context.after(() => {
    sessionManager.abort();
    server.stop();
  });
  const options = { baseUrl, httpVersion: '2', useBinaryFormat: true, sessionManager } as const;
  const client = connect.createClient(
    schema.LinkService,
    connectNode.createConnectTransport(options),
  );
  const outbox = linkOutbox.createLinkOutbox<schema.EntryMessage>();
  outbox.push(buildOffer());
  const reading = client.connect(outbox.messages)[Symbol.asyncIterator]();
  reading.next().catch(() => undefined);
  const linkId = await opened.promise;
  const content = { case: 'data', value: new Uint8Array(CHUNK_BYTES) } as const;
  const value = schema.create(schema.AnswerPartSchema, { content });
  const message = schema.create(schema.AgentMessageSchema, { body: { case: 'part', value } });
  const timer = setInterval(() => server.send(linkId, message), 1);
  context.after(() => clearInterval(timer));
  assert.equal(await ended.promise, linkId);
});
