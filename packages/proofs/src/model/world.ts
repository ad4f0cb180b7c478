/**
 * The world of the key protocol's specification: its agents, calls, messages and
 * the safeguards that can be taken out of it.
 */

export type AgentId = 'A' | 'B';
/** Names a call and its attempt, for example "0.1". */
export type Ref = string;

export type Binding =
  | { kind: 'bound'; ref: Ref; agent: AgentId; life: number }
  /** Closed by the claim of this id; the code tells closes apart by their time. */
  | { kind: 'closed'; id: string };

export type RecordStatus = 'queued' | 'started' | 'notRun';

export type Agent = {
  life: number;
  /** This agent as the key's home. */
  binding: Binding | null;
  /** This agent as the gate to its engine. */
  records: Record<Ref, RecordStatus>;
};

export type Phase = 'idle' | 'placing' | 'claiming' | 'closing' | 'held' | 'ended';
export type Told = 'completed' | 'notRun' | 'mayHaveRun';

/** The attempt that a call waits for, its own or one it joined. */
export type Held = { ref: Ref; agent: AgentId; life: number };

export type Call = {
  phase: Phase;
  homes: AgentId[];
  homeIndex: number;
  attempt: number;
  held: Held | null;
  /** Attempts that their agents confirmed as not run. */
  dead: Ref[];
  /** Closes that stood already when the call arrived. */
  closedBefore: string[];
  told: Told | null;
  /** Calls that had arrived when this one decided to give up. */
  covers: number[];
};

export type Message =
  | { kind: 'claim'; id: string; call: number; home: AgentId; held: Held | null; dead: Ref[] }
  | { kind: 'reply'; id: string; call: number; outcome: ClaimOutcome }
  | { kind: 'offer'; held: Held }
  | { kind: 'resume'; held: Held }
  | { kind: 'word'; ref: Ref; word: 'notRun' | 'done' | 'otherLife' };

export type ClaimOutcome =
  { kind: 'granted' } | { kind: 'closed' } | { kind: 'undecided' } | { kind: 'bound'; held: Held };

export type World = {
  agents: Record<AgentId, Agent>;
  calls: Call[];
  network: Message[];
  /** Every start on an engine, over all lives: the ground truth. */
  starts: Ref[];
  restartsLeft: number;
  attemptsLeft: number[];
};

/**
 * The safeguards, each of which can be taken out to see the check catch it.
 */
export type Safeguards = {
  /** A resumption of an unknown attempt leaves a record that refuses its offer. */
  tombstones: boolean;
  /** Offers and resumptions of another life are not acted on. */
  lifeChecks: boolean;
  /** A restarted home does not bind keys that may have been bound before. */
  restartedHomeAbstains: boolean;
  /** Homes of older versions are asked too, oldest first. */
  olderHomes: boolean;
  /** Silence of an agent is never taken for its word. */
  silenceIsUnknown: boolean;
  /** The key is closed before a caller is told "not run". */
  closeBeforeNotRun: boolean;
  /** A copy of a known offer is not started again. */
  offerRecords: boolean;
  /** A closed key is opened only by a call that arrived after the close. */
  closeBindsEarlierCalls: boolean;
};

export const ALL_SAFEGUARDS: Safeguards = {
  tombstones: true,
  lifeChecks: true,
  restartedHomeAbstains: true,
  olderHomes: true,
  silenceIsUnknown: true,
  closeBeforeNotRun: true,
  offerRecords: true,
  closeBindsEarlierCalls: true,
};

export const AGENT_IDS: readonly AgentId[] = ['A', 'B'];

/** Makes the world before any call; `attempts` bounds those of each call. */
export function makeWorld(restarts: number, attempts: number[]): World {
  const agent = (): Agent => ({ life: 1, binding: null, records: {} });
  const call = (): Call => ({
    phase: 'idle',
    homes: [],
    homeIndex: 0,
    attempt: 0,
    held: null,
    dead: [],
    closedBefore: [],
    told: null,
    covers: [],
  });
  return {
    agents: { A: agent(), B: agent() },
    calls: [call(), call()],
    network: [],
    starts: [],
    restartsLeft: restarts,
    attemptsLeft: attempts,
  };
}

const texts = new WeakMap<Message, string>();

/** Writes a message as text; messages are never changed once sent. */
export function formatMessage(message: Message): string {
  const known = texts.get(message);
  if (known !== undefined) {
    return known;
  }
  const text = JSON.stringify(message);
  texts.set(message, text);
  return text;
}
