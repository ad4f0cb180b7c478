/** Messages of one link that wait to be sent, bounded in bytes. */
import * as stream from 'node:stream';
import * as schema from '@toucanproxy/schema';

/**
 * Bytes that may wait on one link. A peer that reads slowly or not at all would
 * otherwise make this process keep everything for it until its memory ends.
 * Beyond the bound the link is given up; requests are resumed over the next.
 */
const MAX_WAITING_BYTES = 32 * 1024 * 1024;

/** Counted for each message besides the bytes that it carries. */
const MESSAGE_BYTES = 256;

type Message = schema.EntryMessage | schema.AgentMessage;

export type LinkOutbox<T extends Message> = {
  /** False where the message does not fit; the link is to be given up. */
  push: (message: T) => boolean;
  /** The messages in order, counted as sent when taken. */
  messages: AsyncIterable<T>;
  close: () => void;
};

/** Estimates what a message takes in memory, bytes. */
function estimateBytes(message: Message): number {
  const { body } = message;
  switch (body.case) {
    case 'offer':
      return MESSAGE_BYTES + body.value.payload.length;
    case 'documentBody':
      return MESSAGE_BYTES + body.value.json.length;
    case 'part': {
      const { content } = body.value;
      return MESSAGE_BYTES + (content.case === 'data' ? content.value.length : 0);
    }
    default:
      return MESSAGE_BYTES;
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
