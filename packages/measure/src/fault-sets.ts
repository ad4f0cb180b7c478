/** The faults that measurements bring about. Times from the first arrival, milliseconds. */
import * as proofs from '@toucanproxy/proofs';

export type FaultSet = { name: string; faults: proofs.FaultSpec[] };

const DURING: proofs.FaultSpec[] = [
  { atMs: 1000, kind: 'documentOut', ms: 8000 },
  { atMs: 1500, kind: 'engineSlowed', agent: 0, factor: 6, ms: 4000 },
  { atMs: 3000, kind: 'agentStopped', agent: 1, told: true, downMs: 2000 },
  { atMs: 5000, kind: 'entryStopped', entry: 1, told: true, downMs: 1500 },
  { atMs: 6000, kind: 'linkSilent', entry: 0, agent: 2 },
];

export const FAULT_SETS: readonly FaultSet[] = [
  { name: 'calm', faults: [] },
  { name: 'faults', faults: DURING },
];
