/** Encodes and decodes the datagrams between gateways. */
import * as protobuf from '@bufbuild/protobuf';
import * as fieldRanges from './field-ranges.js';
import * as schedulingPb from './generated/toucanproxy/v1/scheduling_pb.js';

export type EncodedPeerMessage = {
  bytes: Uint8Array<ArrayBuffer>;
  /** Names of the fields whose numbers did not fit and were replaced by the nearest that does. */
  trimmed: string[];
};

/** Encodes a message; a number that does not fit its field is replaced by the nearest that does. */
export function encodePeerMessage(message: schedulingPb.PeerMessage): EncodedPeerMessage {
  const type = schedulingPb.PeerMessageSchema;
  try {
    return { bytes: protobuf.toBinary(type, message), trimmed: [] };
  } catch {
    // Trimming visits each field, so it is done only where the encoder has found a number too large.
    const trimmed = fieldRanges.trimNumbers(type, message);
    return { bytes: protobuf.toBinary(type, message), trimmed };
  }
}
