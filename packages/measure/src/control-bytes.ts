/** Counts the bytes of messages that carry no request or answer. */
import * as proofs from '@toucanproxy/proofs';
import * as schema from '@toucanproxy/schema';

export type ControlBytes = { bytes: number };

const ENTRY_CONTENT = new Set(['offer']);
const AGENT_CONTENT = new Set(['part']);

/** Creates an empty count. */
export function createControlBytes(): ControlBytes {
  return { bytes: 0 };
}

/** Adds what one process sent after one event. */
export function addOccurrence(control: ControlBytes, occurrence: proofs.Occurrence): void {
  if (occurrence.kind === 'entryApplied') {
    occurrence.effects.forEach((effect) => {
      if (effect.kind === 'sendToAgent' && !ENTRY_CONTENT.has(effect.message.body.case ?? '')) {
        control.bytes += schema.toBinary(schema.EntryMessageSchema, effect.message).length;
      }
    });
  }
  if (occurrence.kind === 'agentApplied') {
    occurrence.effects.forEach((effect) => {
      if (effect.kind === 'sendToEntry' && !AGENT_CONTENT.has(effect.message.body.case ?? '')) {
        control.bytes += schema.toBinary(schema.AgentMessageSchema, effect.message).length;
      }
    });
  }
}
