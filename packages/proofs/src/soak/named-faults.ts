/** The faults and oddities that the platform names, and how the soak test applies them. */
import type * as randomSource from '../mocks/random-source.js';
import * as soakClosings from './soak-closings.js';
import * as soakEpochs from './soak-epochs.js';
import * as soakEvacuations from './soak-evacuations.js';
import * as soakFaults from './soak-faults.js';
import * as soakFleet from './soak-fleet.js';
import * as soakLimits from './soak-limits.js';
import * as soakOddInput from './soak-odd-input.js';
import * as soakPauses from './soak-pauses.js';
import * as soakRecords from './soak-records.js';
import * as soakSaturation from './soak-saturation.js';
import * as soakStatements from './soak-statements.js';

/** Applies a fault to a fleet for a time in milliseconds, unless its own bounds set its length. */
export type ApplyFault = (
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  forMs: number,
) => Promise<void> | void;

export type NamedFault = {
  /** How long it lasts. */
  lasts: string;
  /** What a caller may see of it. */
  seen: string;
  /** Undefined if the soak cannot apply it at a chosen time. */
  apply?: ApplyFault;
};

const ONCE = 'one request';
const A_WHILE = 'seconds';
const UNTIL_REPLACED = 'until the next write';
const UNDISTURBED = 'nothing';
const RETRIED = 'a retry, or 502 where it may have run';
const REFUSED = '503 with Retry-After';
const BROKEN_OFF = 'a response that is visibly truncated';
const CLOSED = 'a closed connection';
const ODD_INPUTS = 5;

/** Applies a fault that the soak draws by itself too. */
function applyKind(kind: soakFaults.FaultKind): ApplyFault {
  return (fleet, draw, forMs) =>
    soakFaults.applyFault(fleet, { kind, atMs: 0, forMs, target: draw() });
}

/** Gives gateways odd input of one kind. */
function applyOdd(kind: soakOddInput.OddKind): ApplyFault {
  return (fleet, draw) =>
    soakOddInput.runOddInput(fleet, draw, ODD_INPUTS, {
      kinds: [kind],
      name: `odd-${kind}-${Math.round(fleet.readNow())}`,
    });
}

/** Has all backend servers respond in another way for a time. */
async function applyShare(
  { backends }: soakFleet.SoakFleet,
  forMs: number,
  setShare: (backend: soakFleet.SoakBackend, share: number) => void,
): Promise<void> {
  backends.forEach((backend) => setShare(backend, 0.5));
  await new Promise((resolve) => {
    setTimeout(resolve, forMs);
  });
  backends.forEach((backend) => setShare(backend, 0));
}

const { FaultKind: Kind } = soakFaults;
const { OddKind } = soakOddInput;

export const RESPONSE_FAULTS = {
  'response without a length': {
    lasts: ONCE,
    seen: UNDISTURBED,
    apply: (fleet, _draw, forMs) =>
      applyShare(fleet, forMs, ({ server }, share) => server.setUnframedShare(share)),
  },
  'second response': {
    lasts: ONCE,
    seen: RETRIED,
    apply: (fleet, _draw, forMs) =>
      applyShare(fleet, forMs, ({ server }, share) => server.setExtraShare(share)),
  },
  'truncated response': { lasts: ONCE, seen: RETRIED },
  'response cut in its head': { lasts: ONCE, seen: RETRIED },
  'stream cut inside an event': { lasts: ONCE, seen: BROKEN_OFF },
  'bytes that are no response': { lasts: ONCE, seen: RETRIED },
  'response without end': { lasts: ONCE, seen: RETRIED },
  'response before the end of the body': { lasts: ONCE, seen: UNDISTURBED },
  'odd status': { lasts: ONCE, seen: RETRIED },
  'failed response': { lasts: ONCE, seen: 'the failure of the server' },
  'refusal of a full server': { lasts: ONCE, seen: UNDISTURBED },
  'rate limit of a server': {
    lasts: A_WHILE,
    seen: REFUSED,
    apply: (fleet, draw) => soakLimits.applyLimit(fleet, draw),
  },
  'server states that it leaves': {
    lasts: A_WHILE,
    seen: UNDISTURBED,
    apply: (fleet, draw) =>
      soakStatements.applyStatement(fleet, draw, soakRecords.StatementKind.LEAVING),
  },
  'server asks for a backoff': {
    lasts: A_WHILE,
    seen: REFUSED,
    apply: (fleet, draw) =>
      soakStatements.applyStatement(fleet, draw, soakRecords.StatementKind.BACKOFF),
  },
} satisfies Record<string, NamedFault>;

export const CONNECTION_FAULTS = {
  'server connections reset': { lasts: ONCE, seen: RETRIED, apply: applyKind(Kind.BACKEND_RESET) },
  'server connections silent': {
    lasts: A_WHILE,
    seen: '504',
    apply: applyKind(Kind.BACKEND_SILENT),
  },
  'responses of a server lost': {
    lasts: A_WHILE,
    seen: '504',
    apply: applyKind(Kind.BACKEND_ANSWERS_CUT),
  },
  'slow link to a server': { lasts: A_WHILE, seen: 'delay', apply: applyKind(Kind.BACKEND_SLOW) },
  'unreachable server': { lasts: A_WHILE, seen: UNDISTURBED },
  'callers reset': { lasts: ONCE, seen: CLOSED, apply: applyKind(Kind.CALLERS_RESET) },
  'callers silent': { lasts: A_WHILE, seen: CLOSED, apply: applyKind(Kind.CALLERS_SILENT) },
  'slow link to callers': { lasts: A_WHILE, seen: 'delay', apply: applyKind(Kind.CALLERS_SLOW) },
} satisfies Record<string, NamedFault>;

export const STORE_FAULTS = {
  'malformed entry': {
    lasts: UNTIL_REPLACED,
    seen: UNDISTURBED,
    apply: applyKind(Kind.ENTRY_UNREADABLE),
  },
  'odd foreign entry': {
    lasts: A_WHILE,
    seen: UNDISTURBED,
    apply: applyOdd(OddKind.ENTRY),
  },
  'entry says draining': {
    lasts: A_WHILE,
    seen: UNDISTURBED,
    apply: applyKind(Kind.BACKEND_DRAIN),
  },
  'entry removed': { lasts: 'for good', seen: UNDISTURBED },
  'server crashes': { lasts: A_WHILE, seen: RETRIED, apply: applyKind(Kind.BACKEND_CRASH) },
  'server restarts under its id': {
    lasts: A_WHILE,
    seen: RETRIED,
    apply: applyKind(Kind.BACKEND_RESTART),
  },
  'address reused': { lasts: 'for good', seen: UNDISTURBED },
  'store refuses': { lasts: A_WHILE, seen: UNDISTURBED, apply: applyKind(Kind.STORE_REFUSING) },
  'store silent': { lasts: A_WHILE, seen: REFUSED, apply: applyKind(Kind.STORE_SILENT) },
  'store history lost': {
    lasts: ONCE,
    seen: UNDISTURBED,
    apply: applyKind(Kind.STORE_HISTORY_GONE),
  },
  'store restored': {
    lasts: A_WHILE,
    seen: REFUSED,
    apply: (fleet, draw) => soakEpochs.applyRestore(fleet, draw),
  },
  'store limits reads': { lasts: A_WHILE, seen: UNDISTURBED },
  'stale read of the store': { lasts: A_WHILE, seen: UNDISTURBED },
  'store link blocked': {
    lasts: A_WHILE,
    seen: REFUSED,
    apply: applyKind(Kind.STORE_LINK_BLOCKED),
  },
  'store link reset': { lasts: ONCE, seen: UNDISTURBED, apply: applyKind(Kind.STORE_LINK_RESET) },
  'store connection silent': {
    lasts: A_WHILE,
    seen: UNDISTURBED,
    apply: applyKind(Kind.STORE_LINK_SILENT),
  },
  'slow store link': { lasts: A_WHILE, seen: UNDISTURBED, apply: applyKind(Kind.STORE_LINK_SLOW) },
} satisfies Record<string, NamedFault>;

export const PROCESS_FAULTS = {
  'gateway killed': { lasts: A_WHILE, seen: CLOSED, apply: applyKind(Kind.KILL) },
  'all gateways killed': { lasts: A_WHILE, seen: CLOSED },
  'planned stop': { lasts: 'the grace period', seen: REFUSED, apply: applyKind(Kind.TERM) },
  'settings reloaded': { lasts: ONCE, seen: UNDISTURBED, apply: applyKind(Kind.RELOAD) },
  'gateway suspended': { lasts: A_WHILE, seen: 'delay', apply: applyKind(Kind.FREEZE) },
  'event loop stalled': { lasts: 'a fraction of a second', seen: 'delay' },
  'processor quota': {
    lasts: A_WHILE,
    seen: 'delay',
    apply: ({ gateways }, draw, forMs) => {
      const { child } = gateways[Math.floor(draw() * gateways.length)];
      return child && soakPauses.applyQuota(child, draw() * soakPauses.PERIOD_MS, forMs);
    },
  },
  'clock jumps': { lasts: A_WHILE, seen: UNDISTURBED },
} satisfies Record<string, NamedFault>;

export const CONFIGURATION_FAULTS = {
  'key revoked': { lasts: 'for good', seen: '401', apply: applyKind(Kind.KEY_REVOKED) },
  'series of configurations': {
    lasts: ONCE,
    seen: UNDISTURBED,
    apply: applyKind(Kind.CONFIGURATIONS),
  },
  'large configurations': {
    lasts: ONCE,
    seen: 'delay',
    apply: (fleet) => soakClosings.publishLarge(fleet),
  },
  'odd configuration': {
    lasts: UNTIL_REPLACED,
    seen: UNDISTURBED,
    apply: applyOdd(OddKind.CONFIGURATION),
  },
  'older configuration': { lasts: UNTIL_REPLACED, seen: UNDISTURBED },
  'route moved': { lasts: 'for good', seen: UNDISTURBED },
  'domain evacuated': {
    lasts: A_WHILE,
    seen: UNDISTURBED,
    apply: (fleet, draw, forMs) => {
      const domain = soakFleet.formatDomain(Math.floor(draw() * soakFleet.DOMAINS));
      return soakEvacuations.applyEvacuation(fleet, domain, forMs);
    },
  },
} satisfies Record<string, NamedFault>;

export const CALLER_FAULTS = {
  'caller leaves': { lasts: ONCE, seen: UNDISTURBED },
  'caller reads slowly': { lasts: A_WHILE, seen: UNDISTURBED },
  'caller sends slowly': { lasts: A_WHILE, seen: '408' },
  'pipelined requests': { lasts: ONCE, seen: UNDISTURBED },
  'new connection for each request': { lasts: A_WHILE, seen: REFUSED },
  'all slots taken': {
    lasts: A_WHILE,
    seen: REFUSED,
    apply: (fleet, draw, forMs) => soakSaturation.takeSlots(fleet, draw, forMs),
  },
  'bytes that are no request': { lasts: ONCE, seen: '400', apply: applyOdd(OddKind.BYTES) },
  'odd headers': { lasts: ONCE, seen: UNDISTURBED, apply: applyOdd(OddKind.HEADERS) },
  'request that ends servers': { lasts: A_WHILE, seen: REFUSED },
  'prompt part that ends servers': { lasts: A_WHILE, seen: REFUSED },
  'requests over a quota': { lasts: A_WHILE, seen: '429' },
  'stream taken up elsewhere': { lasts: ONCE, seen: 'the rest of the stream' },
} satisfies Record<string, NamedFault>;

export const PEER_FAULTS = {
  'datagrams lost': { lasts: A_WHILE, seen: 'delay' },
  'gateways partitioned': { lasts: A_WHILE, seen: 'delay' },
  'odd datagram': { lasts: ONCE, seen: UNDISTURBED, apply: applyOdd(OddKind.DATAGRAM) },
  'scheduler killed': { lasts: A_WHILE, seen: 'delay' },
} satisfies Record<string, NamedFault>;

/** All faults by group. */
export const GROUPS = {
  responses: RESPONSE_FAULTS,
  connections: CONNECTION_FAULTS,
  'entries and store': STORE_FAULTS,
  processes: PROCESS_FAULTS,
  configuration: CONFIGURATION_FAULTS,
  callers: CALLER_FAULTS,
  peers: PEER_FAULTS,
} as const;

export const NAMED_FAULTS = {
  ...RESPONSE_FAULTS,
  ...CONNECTION_FAULTS,
  ...STORE_FAULTS,
  ...PROCESS_FAULTS,
  ...CONFIGURATION_FAULTS,
  ...CALLER_FAULTS,
  ...PEER_FAULTS,
} satisfies Record<string, NamedFault>;

export type FaultName = keyof typeof NAMED_FAULTS;

export const FAULT_NAMES = Object.keys(NAMED_FAULTS) as FaultName[];

/** Returns a fault. */
export function getFault(name: FaultName): NamedFault {
  return NAMED_FAULTS[name];
}
