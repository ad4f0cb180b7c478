/** The task that owns the entry's links to agents. */
import * as core from '@toucanproxy/core';
import * as runtime from '@toucanproxy/runtime';
import * as schema from '@toucanproxy/schema';

export type AgentLinkTask = {
  open: (backendServerId: string, address: string) => void;
  send: (backendServerId: string, message: schema.EntryMessage) => void;
  close: (backendServerId: string) => void;
  stop: () => void;
};

/** Creates the task without any open link. */
export function createAgentLinkTask(post: (event: core.EntryEvent) => void): AgentLinkTask {
  const clients = new Map<string, runtime.LinkClient>();
  const close = (backendServerId: string) => {
    const client = clients.get(backendServerId);
    clients.delete(backendServerId);
    client?.close();
  };
  return {
    open: (backendServerId, address) => {
      close(backendServerId);
      const client: runtime.LinkClient = runtime.openLinkClient({
        address,
        receive: (message) => post({ kind: 'agentMessage', backendServerId, message }),
        onClosed: () => {
          // The closing of a link that was replaced does not affect its replacement.
          if (clients.get(backendServerId) === client) {
            clients.delete(backendServerId);
            post({ kind: 'linkClosed', backendServerId });
          }
        },
      });
      clients.set(backendServerId, client);
      post({ kind: 'linkOpened', backendServerId });
    },
    send: (backendServerId, message) => clients.get(backendServerId)?.send(message),
    close,
    stop: () => [...clients.keys()].forEach(close),
  };
}
