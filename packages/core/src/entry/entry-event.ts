/** Events that an entry handles, and effects that its daemon carries out. */
import * as schema from '@toucanproxy/schema';
import * as documentStore from '../shared/document-store.js';
import * as effect from '../shared/effect.js';

/** A caller's request, after the daemon has read it completely. */
export type ArrivedRequest = {
  /** Handle of the caller's request, chosen by the daemon. */
  callerId: number;
  service: string;
  method: string;
  /** Path below the service, including the query. */
  path: string;
  contentType: string;
  payload: Uint8Array;
  /** SHA-256 of the bearer token in hexadecimal; empty if there was none. */
  tokenSha256: string;
  /** The caller's Idempotency-Key; empty if there was none. */
  key: string;
  /** The caller's timeout in milliseconds; 0 if it gave none. */
  timeoutMs: number;
  /** Keyed digest of workspace and content in hexadecimal. */
  contentDigest: string;
  /** Estimated cost of prompt and response, tokens. */
  estimatedTokens: number;
  /**
   * Hashes of prompt prefixes, the shortest first; each prefix is twice as long as
   * the one before.
   */
  prefixHashes: number[];
  /** The caller's limit on the response length, tokens; 0 or absent if it gave none. */
  maxAnswerTokens?: number;
};

export type EntryEvent =
  | { kind: 'requestArrived'; request: ArrivedRequest }
  | { kind: 'callerLeft'; callerId: number }
  | { kind: 'linkOpened'; backendServerId: string }
  | { kind: 'linkClosed'; backendServerId: string }
  | { kind: 'agentMessage'; backendServerId: string; message: schema.AgentMessage }
  | { kind: 'documentRead'; stored: documentStore.StoredDocument }
  | { kind: 'vmsLeaving'; addresses: string[] }
  | { kind: 'ticked' }
  | {
      kind: 'shutdownStarted';
      /** Time until the process is killed, milliseconds; absent or 0 if nothing limits it. */
      graceMs?: number;
    };

export type EntryEffect =
  | { kind: 'openLink'; backendServerId: string; address: string }
  | { kind: 'closeLink'; backendServerId: string }
  | { kind: 'sendToAgent'; backendServerId: string; message: schema.EntryMessage }
  | {
      kind: 'answerHead';
      callerId: number;
      requestId: string;
      status: number;
      contentType: string;
    }
  | { kind: 'answerData'; callerId: number; data: Uint8Array }
  | { kind: 'answerEnd'; callerId: number }
  | {
      kind: 'answerFailure';
      callerId: number;
      requestId: string;
      code: schema.ResultCode;
      runState: schema.RunState;
      retryAfterMs: number;
    }
  | { kind: 'documentReceived'; json: string }
  | { kind: 'stopped' }
  | effect.LogEffect
  | effect.ObserveEffect;
