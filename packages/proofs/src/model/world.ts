/**
 * The state of the key protocol's specification (its world): agents, calls and messages, and
 * the safeguards that can be disabled.
 */

export type AgentId = 'A' | 'B';
/** Identifies a call and its attempt, for example "0.1". */
export type Ref = string;

export type Binding =
  | { kind: 'bound'; ref: Ref; agent: AgentId; life: number }
  /** Closed by the claim with this id; the code distinguishes closes by their time. */
  | { kind: 'closed'; id: string };

export type RecordStatus = 'queued' | 'started' | 'notRun';

export type Agent = {
  life: number;
  /** Binding of the key, if this agent is its home. */
  binding: Binding | null;
  /** Status of each attempt offered to this agent for its engine. */
  records: Record<Ref, RecordStatus>;
};

export type Phase = 'idle' | 'placing' | 'claiming' | 'closing' | 'held' | 'ended';
export type Result = 'completed' | 'notRun' | 'mayHaveRun';

/** The attempt that a call waits for: its own, or another call's that it joined. */
export type Held = { ref: Ref; agent: AgentId; life: number };

export type Call = {
  phase: Phase;
  homes: AgentId[];
  homeIndex: number;
  attempt: number;
  held: Held | null;
  /** Attempts that their agents have confirmed as not run. */
  confirmedNotRun: Ref[];
  /** Ids of closes that were in place when the call arrived. */
  closedBefore: string[];
  result: Result | null;
  /** Calls that had arrived when this one decided to give up. */
  covers: number[];
};

export type Message =
  | {
      kind: 'claim';
      id: string;
      call: number;
      home: AgentId;
      held: Held | null;
      confirmedNotRun: Ref[];
    }
  | { kind: 'reply'; id: string; call: number; outcome: ClaimOutcome }
  | { kind: 'offer'; held: Held }
  | { kind: 'resume'; held: Held }
  | { kind: 'attemptStatus'; ref: Ref; status: 'notRun' | 'done' | 'otherLife' };

export type ClaimOutcome =
  { kind: 'granted' } | { kind: 'closed' } | { kind: 'undecided' } | { kind: 'bound'; held: Held };

export type World = {
  agents: Record<AgentId, Agent>;
  calls: Call[];
  network: Message[];
  /** Every start on an engine, in all incarnations: the ground truth. */
  starts: Ref[];
  restartsLeft: number;
  attemptsLeft: number[];
};

/**
 * Safeguards of the protocol. Tests disable one at a time to show that the check fails then.
 */
export type Safeguards = {
  /** A resumption of an unknown attempt leaves a record that refuses a later offer of it. */
  tombstones: boolean;
  /** Agents ignore offers and resumptions meant for another of their incarnations. */
  lifeChecks: boolean;
  /** A restarted home does not bind keys that it may have bound before the restart. */
  restartedHomeAbstains: boolean;
  /** Homes under older document versions are asked too, oldest first. */
  olderHomes: boolean;
  /** A missing reply from an agent is never taken as "not run". */
  silenceIsUnknown: boolean;
  /** The key is closed before a caller gets the result "not run". */
  closeBeforeNotRun: boolean;
  /** A duplicate of a known offer is not started again. */
  offerRecords: boolean;
  /** A closed key is reopened only by a call that arrived after the close. */
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

/** Creates the world before any call; `attempts` limits the attempts of each call. */
export function createWorld(restarts: number, attempts: number[]): World {
  const agent = (): Agent => ({ life: 1, binding: null, records: {} });
  const call = (): Call => ({
    phase: 'idle',
    homes: [],
    homeIndex: 0,
    attempt: 0,
    held: null,
    confirmedNotRun: [],
    closedBefore: [],
    result: null,
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

/** Formats a message as text; cached, as messages are never modified once sent. */
export function formatMessage(message: Message): string {
  const known = texts.get(message);
  if (known !== undefined) {
    return known;
  }
  const text = JSON.stringify(message);
  texts.set(message, text);
  return text;
}
