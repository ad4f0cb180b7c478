/** Decisions about requests by the parts of their prompts. */
import type * as proofs from '@toucanproxy/proofs';

/** A run that ended without a response, and its parts but the last. */
export type LostRun = {
  parts: readonly string[];
  serverId: string;
  sentMs: number;
  lostMs: number;
  isSilent: boolean;
};

export type Verdict = 'run' | 'trial' | 'refuse';

export type Message = { content: unknown; bytes: number };

/** The decisions of one gateway. */
export type PartPolicy = {
  noteLost: (run: LostRun, now: number) => void;
  noteSound: (parts: readonly string[], now: number) => void;
  admit: (parts: readonly string[], now: number) => Verdict;
  /** Returns what other gateways have not been sent; a report repeats recent changes. */
  collect: (isReport: boolean, now: number) => Message[];
  /** Returns what a gateway that has just started needs most. */
  collectAll: (now: number) => Message[];
  receive: (message: Message, now: number) => void;
  countParts: () => number;
};

export type CreatePolicy = (gateway: number, drawRandom: proofs.DrawRandom) => PartPolicy;

/** Creates a policy that admits everything. */
export function createOpenPolicy(): PartPolicy {
  return {
    noteLost: () => {},
    noteSound: () => {},
    admit: () => 'run',
    collect: () => [],
    collectAll: () => [],
    receive: () => {},
    countParts: () => 0,
  };
}
