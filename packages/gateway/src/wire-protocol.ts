/**
 * Interface that a platform adapter implements to translate headers between callers, the gateway
 * and backend servers. An adapter only translates; all decisions are made in the gateway.
 */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as backendAttempt from './backend-attempt.js';
import type * as unknownNames from './unknown-names.js';

/** Headers as received: names and values alternating. */
export type RawHeaders = string[];

/** Values parsed from the headers of a request. */
export type ParsedRequestHeaders = Pick<
  gateway.ArrivedRequest,
  | 'attemptId'
  | 'credential'
  | 'deadlineMs'
  | 'tokens'
  | 'answerGuess'
  | 'promptParts'
  | 'resumption'
>;

/** What the gateway itself adds to a request for a backend server. */
export type ForwardingContext = {
  deadlineLeftMs: number;
  serverId: string;
  /** Undefined if the request has no workspace. */
  workspace: string | undefined;
  /** Id of the last event that the caller received; undefined to run from the start. */
  resumeAfter: string | undefined;
};

/** A header value that a response may state about its backend server. */
export type ParsedHeaderValue<T> =
  { kind: 'none' } | { kind: 'stated'; value: T } | { kind: 'unreadable'; text: string };

/** Values parsed from the status and headers of a response. */
export type ParsedResponseHeaders = {
  /** The request that it responds to; undefined if the response does not say. */
  attemptId: string | undefined;
  /** Whether the backend server reports that it did not run the request. */
  isNotRun: boolean;
  /** Whether the response comes from a different backend server than the intended one. */
  isMisdirected: boolean;
  /** Whether the response carries the signature header that backend servers set. */
  isSigned: boolean;
  /** Rate limit of the backend server for all gateways together, requests per second. */
  perSecond: ParsedHeaderValue<number>;
  /** Whether the backend server reports that it is leaving. */
  leaving: ParsedHeaderValue<true>;
  /** Time for which the backend server accepts nothing from this gateway, milliseconds. */
  backoffMs: ParsedHeaderValue<number>;
  /** Headers of the platform that the gateway does not know. */
  unknown: unknownNames.UnknownName[];
};

export type WireProtocol = {
  /** Parses the headers of a request; undefined if they are invalid. */
  parseRequestHeaders: (headers: RawHeaders) => ParsedRequestHeaders | undefined;
  /** Builds the headers of a request to a backend server from the caller's end-to-end headers. */
  buildForwardHeaders: (headers: RawHeaders, context: ForwardingContext) => RawHeaders;
  parseResponseHeaders: (status: number, headers: RawHeaders) => ParsedResponseHeaders;
  /** Builds a request that a backend server answers at once, without a slot. */
  buildServerCheck: (serverId: string) => backendAttempt.OutgoingRequest;
  /**
   * Parses from the response to that request when the backend server's process started, milliseconds
   * since the Unix epoch; undefined if it is not stated.
   */
  parseReportedStart: (report: Buffer) => number | undefined;
};
