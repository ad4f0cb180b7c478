/** What can happen to an agent, and what it asks of its daemon. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as documentStore from '../shared/document-store.js';

/** How an engine's run ended without an answer. */
export enum EngineFault {
  /** The engine answered with an error or broke its stream; it is still up. */
  FAILED = 'failed',
  /** The engine's process went away while it ran the request. */
  CRASHED = 'crashed',
  /** Nothing of the request reached the engine. */
  UNREACHABLE = 'unreachable',
}

export type AgentEvent =
  | { kind: 'linkOpened'; linkId: number }
  | { kind: 'linkClosed'; linkId: number }
  | { kind: 'entryMessage'; linkId: number; message: schema.EntryMessage }
  | { kind: 'engineHead'; refKey: string; status: number; contentType: string }
  | { kind: 'engineData'; refKey: string; data: Uint8Array }
  | { kind: 'engineEnd'; refKey: string }
  | { kind: 'engineFailed'; refKey: string; fault: EngineFault }
  | { kind: 'engineAvailable'; available: boolean }
  | { kind: 'vmLeaving'; leaving: boolean }
  | { kind: 'documentRead'; stored: documentStore.StoredDocument }
  | { kind: 'ticked' }
  | { kind: 'shutdownStarted' };

export type AgentEffect =
  | { kind: 'sendToEntry'; linkId: number; message: schema.AgentMessage }
  | { kind: 'closeLink'; linkId: number }
  | { kind: 'startOnEngine'; refKey: string; offer: schema.Offer }
  | { kind: 'cancelOnEngine'; refKey: string }
  | { kind: 'documentReceived'; json: string }
  | { kind: 'stopped' }
  | effect.LogEffect
  | effect.ObserveEffect;
