/** Encodes and decodes the datagrams between gateways. */
import * as protobuf from '@bufbuild/protobuf';
import * as address from './address.js';
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
    const trimmed = fieldRanges.trimNumbers(fieldRanges.NUMBER_RANGES, type, message);
    return { bytes: protobuf.toBinary(type, message), trimmed };
  }
}

/** Throws if a message names a sender that no datagram can be sent to. */
function assertSender({ content: { value } }: schedulingPb.PeerMessage): void {
  if (value !== undefined && 'address' in value && !address.isHostAddress(value.address)) {
    throw new Error(`address of the sender: ${JSON.stringify(value.address)}`);
  }
}

/** Removes the addresses of others that nothing can be sent to. */
function removeAddresses({ content }: schedulingPb.PeerMessage): void {
  if (content.case === 'report') {
    content.value.peers = content.value.peers.filter(address.isHostAddress);
  } else if (content.case === 'reply') {
    content.value.grants
      .filter(({ entry }) => entry !== undefined && !address.isHostAddress(entry.address))
      .forEach((grant) => {
        grant.entry = undefined;
      });
  }
}

/**
 * Decodes a datagram, which may come from a gateway of another build; throws if it is no message.
 *
 * All numbers of the result are finite, and all its addresses are those of hosts.
 */
export function decodePeerMessage(bytes: Uint8Array): schedulingPb.PeerMessage {
  const type = schedulingPb.PeerMessageSchema;
  const message = protobuf.fromBinary(type, bytes);
  fieldRanges.trimNumbers(fieldRanges.DOUBLE_RANGES, type, message);
  assertSender(message);
  removeAddresses(message);
  return message;
}
