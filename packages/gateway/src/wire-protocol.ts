/**
 * What the adapter of a platform translates between callers, this product and
 * backend servers. Nothing here decides.
 */
import type * as gateway from '@toucanproxy/core/gateway';
import type * as unknownNames from './unknown-names.js';

/** Header lines as they came: names and values by turns. */
export type RawHeaders = string[];

/** What the headers of a request say. */
export type ParsedRequestHeaders = Pick<
  gateway.ArrivedRequest,
  'attemptId' | 'credential' | 'deadlineMs' | 'tokens' | 'answerGuess'
>;

/** What the gateway itself tells a backend server about a request. */
export type ForwardingContext = {
  deadlineLeftMs: number;
  serverId: string;
  /** Undefined where the request has no workspace. */
  workspace: string | undefined;
  /** Id of the last event that the caller has; undefined for a run from the start. */
  resumeAfter: string | undefined;
};

/** A value that an answer may state about its backend server. */
export type ParsedHeaderValue<T> =
  { kind: 'none' } | { kind: 'stated'; value: T } | { kind: 'unreadable'; text: string };

/** What the head of an answer says. */
export type ParsedResponseHeaders = {
  /** The request that it answers; undefined where it does not say. */
  attemptId: string | undefined;
  /** The backend server says that it did not run the request. */
  isNotRun: boolean;
  /** Another backend server than the one meant has answered. */
  isMisdirected: boolean;
  /** It bears the mark of a backend server. */
  isSigned: boolean;
  /** Requests a second that the backend server takes from all gateways together. */
  perSecond: ParsedHeaderValue<number>;
  /** The backend server leaves. */
  leaving: ParsedHeaderValue<true>;
  /** Time for which the backend server takes nothing from this gateway, milliseconds. */
  backoffMs: ParsedHeaderValue<number>;
  /** Headers of the platform that this product does not know. */
  unknown: unknownNames.UnknownName[];
};

export type WireProtocol = {
  /** Reads the headers of a request; undefined where they are faulty. */
  parseRequestHeaders: (headers: RawHeaders) => ParsedRequestHeaders | undefined;
  /** Builds the headers of a request for a backend server from end-to-end headers. */
  buildForwardHeaders: (headers: RawHeaders, facts: ForwardingContext) => RawHeaders;
  parseResponseHeaders: (status: number, headers: RawHeaders) => ParsedResponseHeaders;
};
