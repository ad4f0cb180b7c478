/**
 * The entry's side of links. Each link has its own HTTP/2 connection, so that an unresponsive one
 * can be closed.
 */
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import * as schema from '@toucanproxy/schema';
import * as linkOutbox from './link-outbox.js';

export type LinkClient = {
  send: (message: schema.EntryMessage) => void;
  close: () => void;
};

type LinkClientOptions = {
  /** Address of the agent, "IP:port". */
  address: string;
  receive: (message: schema.AgentMessage) => void;
  /** Maximum number of bytes that wait to be sent; optional. */
  maxWaitingBytes?: number;
  /** Called once when the link has ended, for whatever reason. */
  onClosed: () => void;
};

/** Reads messages until the link ends. */
async function readMessages(
  messages: AsyncIterable<schema.AgentMessage>,
  receive: (message: schema.AgentMessage) => void,
): Promise<void> {
  for await (const message of messages) {
    receive(message);
  }
}

/** Opens a link. */
export function openLinkClient(options: LinkClientOptions): LinkClient {
  const baseUrl = `http://${options.address}`;
  const sessionManager = new connectNode.Http2SessionManager(baseUrl);
  const transport = connectNode.createConnectTransport({
    baseUrl,
    httpVersion: '2',
    useBinaryFormat: true,
    sessionManager,
  });
  const client = connect.createClient(schema.LinkService, transport);
  const outbox = linkOutbox.createLinkOutbox<schema.EntryMessage>(options.maxWaitingBytes);
  const controller = new AbortController();
  let isOpen = true;
  const close = () => {
    if (!isOpen) {
      return;
    }
    isOpen = false;
    controller.abort();
    outbox.close();
    sessionManager.abort();
    options.onClosed();
  };
  const messages = client.connect(outbox.messages, { signal: controller.signal });
  readMessages(messages, (message) => isOpen && options.receive(message)).then(close, close);
  return {
    send: (message) => {
      if (isOpen && !outbox.push(message)) {
        close();
      }
    },
    close,
  };
}
