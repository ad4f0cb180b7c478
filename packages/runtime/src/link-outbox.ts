/** Send queue of one link, limited in bytes. */
import * as stream from 'node:stream';
import * as schema from '@toucanproxy/schema';

/**
 * Maximum number of bytes that wait on one link. Without a limit, a peer that reads slowly or not
 * at all would make this process run out of memory. When the limit is exceeded, the link is closed
 * and its requests are resumed over the next one.
 */
const MAX_WAITING_BYTES = 32 * 1024 * 1024;

/** Fixed size that is counted for each message in addition to its payload, bytes. */
const MESSAGE_OVERHEAD_BYTES = 256;

type Message = schema.EntryMessage | schema.AgentMessage;

export type LinkOutbox<T extends Message> = {
  /** Adds a message; returns false if it does not fit, and the link must then be closed. */
  push: (message: T) => boolean;
  /** The messages in order; a message counts as sent once it is read from here. */
  messages: AsyncIterable<T>;
  close: () => void;
};

/** Estimates the memory that a message occupies, bytes. */
function estimateBytes(message: Message): number {
  const { body } = message;
  switch (body.case) {
    case 'offer':
      return MESSAGE_OVERHEAD_BYTES + body.value.payload.length;
    case 'documentBody':
      return MESSAGE_OVERHEAD_BYTES + body.value.json.length;
    case 'part': {
      const { content } = body.value;
      return MESSAGE_OVERHEAD_BYTES + (content.case === 'data' ? content.value.length : 0);
    }
    default:
      return MESSAGE_OVERHEAD_BYTES;
  }
}

/** Creates an empty outbox. */
export function createLinkOutbox<T extends Message>(
  maxWaitingBytes = MAX_WAITING_BYTES,
): LinkOutbox<T> {
  const waiting = new stream.PassThrough({ objectMode: true });
  let waitingBytes = 0;

  async function* takeMessages(): AsyncIterable<T> {
    for await (const message of waiting as AsyncIterable<T>) {
      waitingBytes -= estimateBytes(message);
      yield message;
    }
  }
  return {
    push: (message) => {
      waitingBytes += estimateBytes(message);
      const fits = waitingBytes <= maxWaitingBytes;
      if (fits && !waiting.destroyed) {
        waiting.write(message);
      }
      return fits;
    },
    messages: takeMessages(),
    close: () => waiting.destroy(),
  };
}
