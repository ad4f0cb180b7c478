/** What can happen to an entry, and what it asks of its daemon. */
import * as schema from '@toucanproxy/schema';
import * as documentStore from '../shared/document-store.js';
import * as effect from '../shared/effect.js';

/** A caller's request after its daemon has read it whole. */
export type ArrivedRequest = {
  /** Handle of the caller's connection, chosen by the daemon. */
  callerId: number;
  service: string;
  method: string;
  /** Path below the service, query included. */
  path: string;
  contentType: string;
  payload: Uint8Array;
  /** SHA-256 of the bearer token, hexadecimal; empty where there was none. */
  tokenSha256: string;
  /** The caller's Idempotency-Key; empty where there was none. */
  key: string;
  /** Time the caller allows, milliseconds; 0 where it named none. */
  timeoutMs: number;
  /** Keyed digest of workspace and content, hexadecimal. */
  contentDigest: string;
  /** Estimated cost in tokens, prompt and answer. */
  estimatedTokens: number;
  /** Hashes of leading pieces of the prompt, the shortest first; each piece is twice as long. */
  prefixHashes: number[];
  /** The caller's own bound on the answer, tokens; 0 or absent where it gave none. */
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
  | { kind: 'shutdownStarted' };

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
