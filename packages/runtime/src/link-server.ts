/** The agent's end of links. */
import * as http2 from 'node:http2';
import * as net from 'node:net';
import * as stream from 'node:stream';
import * as connectNode from '@connectrpc/connect-node';
import * as schema from '@toucanproxy/schema';

export type LinkServer = {
  /** Port that the server listens on. */
  port: number;
  send: (linkId: number, message: schema.AgentMessage) => void;
  closeLink: (linkId: number) => void;
  stop: () => void;
};

type LinkServerOptions = {
  host: string;
  port: number;
  opened: (linkId: number) => void;
  receive: (linkId: number, message: schema.EntryMessage) => void;
  closed: (linkId: number) => void;
};

type OpenLink = { outbox: stream.PassThrough; controller: AbortController };

/** Reads messages until the link ends. */
async function readMessages(
  messages: AsyncIterable<schema.EntryMessage>,
  receive: (message: schema.EntryMessage) => void,
): Promise<void> {
  for await (const message of messages) {
    receive(message);
  }
}

/** Starts to listen. */
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
    link.controller.abort();
    link.outbox.end();
    options.closed(linkId);
  };

  async function* serveLink(messages: AsyncIterable<schema.EntryMessage>) {
    const linkId = nextLinkId;
    nextLinkId += 1;
    const link = {
      outbox: new stream.PassThrough({ objectMode: true }),
      controller: new AbortController(),
    };
    links.set(linkId, link);
    options.opened(linkId);
    const receive = (message: schema.EntryMessage) =>
      links.has(linkId) && options.receive(linkId, message);
    readMessages(messages, receive).then(
      () => closeLink(linkId),
      () => closeLink(linkId),
    );
    try {
      yield* link.outbox as AsyncIterable<schema.AgentMessage>;
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
    session.on('error', () => session.destroy());
    session.on('close', () => sessions.delete(session));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    send: (linkId, message) => links.get(linkId)?.outbox.write(message),
    closeLink,
    stop: () => {
      [...links.keys()].forEach(closeLink);
      sessions.forEach((session) => session.destroy());
      server.close();
    },
  };
}
