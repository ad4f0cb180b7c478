/**
 * Messages between processes, settings and service documents, with their validation and
 * defaults. The code under `generated/` is written by `npm run generate`.
 */
export * from './generated/toucanproxy/v1/document_pb.js';
export * from './generated/toucanproxy/v1/link_pb.js';
export * from './generated/toucanproxy/v1/peer_pb.js';
export * from './generated/toucanproxy/v1/result_pb.js';
export * from './generated/toucanproxy/v1/scheduling_pb.js';
export * from './generated/toucanproxy/v1/settings_pb.js';
export * from './generated/toucanproxy/v1/suspect_pb.js';
export { create, fromJson, toBinary, toJson, fromBinary } from '@bufbuild/protobuf';
export { HOST_RULE, LISTEN_RULE, isHostAddress, isListenAddress } from './address.js';
export * from './check-change.js';
export { HARD_BODY_LIMIT } from './check-document.js';
export * from './document-defaults.js';
export { formatFault } from './fault.js';
export type { Fault, ParseResult } from './fault.js';
export * from './parse-document.js';
export * from './peer-datagram.js';
export * from './result-status.js';
export * from './settings-defaults.js';
