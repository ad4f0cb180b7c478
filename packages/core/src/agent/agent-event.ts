/** The events that an agent's core handles and the effects that its daemon carries out. */
import * as schema from '@toucanproxy/schema';
import * as effect from '../shared/effect.js';
import * as documentStore from '../shared/document-store.js';

/** Why a run on the engine ended without a complete response. */
export enum EngineFault {
  /** The run was cancelled or ended with an error that is none of the below; the engine is up. */
  FAILED = 'failed',
  /** The engine's connection broke while it ran the request, and the run could not be resumed. */
  CRASHED = 'crashed',
  /** The connection was refused: no byte of the request reached the engine. */
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
