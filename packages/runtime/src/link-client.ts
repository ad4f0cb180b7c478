/** The entry's end of links: one HTTP/2 connection each, so that a silent one can be given up. */
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
  /** Bytes that may wait to be sent; the default where left out. */
  maxWaitingBytes?: number;
  /** Called once, for whatever reason the link ended. */
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
  let open = true;
  const close = () => {
    if (!open) {
      return;
    }
    open = false;
    controller.abort();
    outbox.close();
    sessionManager.abort();
    options.onClosed();
  };
  const answers = client.connect(outbox.messages, { signal: controller.signal });
  readMessages(answers, (message) => open && options.receive(message)).then(close, close);
  return {
    send: (message) => {
      if (open && !outbox.push(message)) {
        close();
      }
    },
    close,
  };
}
