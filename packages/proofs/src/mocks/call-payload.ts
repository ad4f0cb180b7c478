/** The payload that a virtual caller sends, and the only response that is correct for it. */

export type CallPayload = {
  /** Unique for each piece of work; a resend with the same idempotency key keeps it. */
  contentId: string;
  promptTokens: number;
  answerTokens: number;
  stream: boolean;
  /** Whether the request crashes every engine that starts it. */
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

/** Builds the words of the response from position `from` up to, but not including, `to`. */
export function buildWords(payload: CallPayload, from: number, to: number): string {
  return Array.from(
    { length: to - from },
    (_, index) => `${payload.contentId}-${from + index} `,
  ).join('');
}

/** Builds the complete response to a payload. */
export function buildCompleteResponse(payload: CallPayload): string {
  return buildWords(payload, 0, payload.answerTokens);
}
