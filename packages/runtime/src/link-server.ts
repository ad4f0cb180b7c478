/** The agent's side of links. */
import * as http2 from 'node:http2';
import * as net from 'node:net';
import * as connectNode from '@connectrpc/connect-node';
import * as schema from '@toucanproxy/schema';
import * as linkOutbox from './link-outbox.js';

export type LinkServer = {
  /** Port that the server listens on. */
  port: number;
  send: (linkId: number, message: schema.AgentMessage) => void;
  closeLink: (linkId: number) => void;
  stop: () => void;
};

/** A connection without traffic for this time is closed, milliseconds. */
const SESSION_TIMEOUT_MS = 30_000;

type LinkServerOptions = {
  host: string;
  port: number;
  onOpened: (linkId: number) => void;
  receive: (linkId: number, message: schema.EntryMessage) => void;
  onClosed: (linkId: number) => void;
  /** Maximum number of bytes that wait to be sent on one link; optional. */
  maxWaitingBytes?: number;
};

type OpenLink = { outbox: linkOutbox.LinkOutbox<schema.AgentMessage> };

/** Reads messages until the link ends. */
async function readMessages(
  messages: AsyncIterable<schema.EntryMessage>,
  receive: (message: schema.EntryMessage) => void,
): Promise<void> {
  for await (const message of messages) {
    receive(message);
  }
}

/** Starts listening for links. */
export async function startLinkServer(options: LinkServerOptions): Promise<LinkServer> {
  const links = new Map<number, OpenLink>();
  const sessions = new Set<http2.ServerHttp2Session>();
  let nextLinkId = 1;

  const closeLink = (linkId: number) => {
    const link = links.get(linkId);
    if (link === undefined) {
      return;
    }
    links.delete(linkId);
    link.outbox.close();
    options.onClosed(linkId);
  };

  async function* serveLink(messages: AsyncIterable<schema.EntryMessage>) {
    const linkId = nextLinkId;
    nextLinkId += 1;
    const link: OpenLink = { outbox: linkOutbox.createLinkOutbox(options.maxWaitingBytes) };
    links.set(linkId, link);
    options.onOpened(linkId);
    const receive = (message: schema.EntryMessage) =>
      links.has(linkId) && options.receive(linkId, message);
    readMessages(messages, receive).then(
      () => closeLink(linkId),
      () => closeLink(linkId),
    );
    try {
      yield* link.outbox.messages;
    } finally {
      closeLink(linkId);
    }
  }

  const handler = connectNode.connectNodeAdapter({
    routes: (router) => router.service(schema.LinkService, { connect: serveLink }),
  });
  const server = http2.createServer(handler);
  server.on('session', (session) => {
    sessions.add(session);
    // A link that was closed as unresponsive leaves its connection open: the peer's side of it is
    // lost, and no close event arrives. Links in use carry heartbeats far more often than this
    // timeout.
    session.setTimeout(SESSION_TIMEOUT_MS, () => session.destroy());
    session.on('error', () => session.destroy());
    session.on('close', () => sessions.delete(session));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    send: (linkId, message) => {
      if (links.get(linkId)?.outbox.push(message) === false) {
        closeLink(linkId);
      }
    },
    closeLink,
    stop: () => {
      [...links.keys()].forEach(closeLink);
      sessions.forEach((session) => session.destroy());
      server.close();
    },
  };
}
