/** What a virtual caller sends, and the one answer that belongs to it. */

export type CallPayload = {
  /** Unique for each piece of work; sent again with the same key it stays the same. */
  contentId: string;
  promptTokens: number;
  answerTokens: number;
  stream: boolean;
  /** The content crashes any engine that starts it. */
  crash: boolean;
};

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Encodes a payload as the body of a request. */
export function encodePayload(payload: CallPayload): Uint8Array {
  return encoder.encode(JSON.stringify(payload));
}

/** Decodes the body of a request. */
export function decodePayload(bytes: Uint8Array): CallPayload {
  return JSON.parse(decoder.decode(bytes)) as CallPayload;
}

/** Builds the words of an answer from one position to another. */
export function buildWords(payload: CallPayload, from: number, to: number): string {
  return Array.from(
    { length: to - from },
    (_, index) => `${payload.contentId}-${from + index} `,
  ).join('');
}

/** Builds the whole answer. */
export function buildCompleteResponse(payload: CallPayload): string {
  return buildWords(payload, 0, payload.answerTokens);
}
