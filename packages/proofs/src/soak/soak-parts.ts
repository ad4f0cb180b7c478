/**
 * Sends requests of which one part of the prompt ends each backend server that runs it. No two of
 * them are alike; sound requests share their workspace and their other parts.
 */
import * as timers from 'node:timers/promises';
import * as randomSource from '../mocks/random-source.js';
import * as soakCall from './soak-call.js';
import * as soakFaults from './soak-faults.js';
import type * as soakFleet from './soak-fleet.js';
import * as soakRecords from './soak-records.js';

/** Time with sound requests alone, and time with crashing ones beside them, milliseconds. */
const SOUND_MS = 2500;
const CRASHING_MS = 17_000;
const SOUND_INTERVAL_MS = 40;
const CRASHING_INTERVAL_MS = 200;
const DEADLINE_MS = 2000;
/** Time until a lost backend server is back, milliseconds. */
const AWAY_MS = 2500;
/** Parts that both kinds of requests have, and one that only some of the sound ones have. */
const SHARED_PARTS = ['5c1e07a2:800', '91bd3f06:410'];
const EXTRA_PART = '0b7d4e19:120';
const EXTRA_SHARE = 0.3;
const MAX_PART_ID = 0xffff_ffff;
const { KILL, TERM, RELOAD, FREEZE } = soakFaults.FaultKind;
const FAULT_KINDS = [KILL, TERM, RELOAD, FREEZE];
const DRAWN_FAULTS = 12;

/** Builds the parts of a prompt; the last one belongs to this request alone. */
function buildParts(draw: randomSource.DrawRandom, shared: readonly string[]): string {
  const id = Math.floor(draw() * MAX_PART_ID).toString(16);
  return [...shared, `${id}:250`].join(',');
}

/** Sends a request with the given parts at a gateway. */
async function sendCall(
  fleet: soakFleet.SoakFleet,
  id: string,
  gateway: number,
  parts: string,
): Promise<void> {
  const workspace = soakRecords.CRASHING_WORKSPACE;
  const held = fleet.credentials.find((one) => one.workspace === workspace);
  const call = {
    id,
    kind: soakRecords.CallKind.SAFE,
    path: `/safe/${id}`,
    body: id,
    credential: held?.credential ?? '',
    workspace,
    gateway,
    deadlineMs: DEADLINE_MS,
    parts,
  };
  await soakCall.makeCall(fleet, call, fleet.gateways[gateway].callers.port, undefined);
}

/** Sends requests at a fixed interval, at the gateways in turn, whether or not they are answered. */
async function sendSteadily(
  fleet: soakFleet.SoakFleet,
  name: string,
  { intervalMs, forMs }: { intervalMs: number; forMs: number },
  build: () => string,
): Promise<void> {
  const sent: Promise<void>[] = [];
  const untilMs = fleet.readNow() + forMs;
  for (let serial = 0; fleet.readNow() < untilMs; serial += 1) {
    const gateway = serial % fleet.gateways.length;
    sent.push(sendCall(fleet, `${name}-${serial}`, gateway, build()));
    await timers.setTimeout(intervalMs);
  }
  await Promise.all(sent);
}

/** Lets backend servers that run the crashing part come back under a new id. */
function setCrashes(fleet: soakFleet.SoakFleet): void {
  const { partCrashes } = fleet.records;
  fleet.backends.forEach((backend) =>
    backend.server.setCrash(() => {
      const server = backend.server.id;
      // A second request with the part may have been running there.
      if (partCrashes.some((one) => one.server === server)) {
        return;
      }
      partCrashes.push({ server, atMs: fleet.readNow() });
      soakFaults.restartBackend(fleet, backend, AWAY_MS, false);
    }),
  );
}

/** Plays rounds with a crashing part, beside faults of gateways. */
export async function runParts(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
): Promise<void> {
  if (count === 0) {
    return;
  }
  setCrashes(fleet);
  const faults = soakFaults
    .drawFaults(draw, DRAWN_FAULTS, 0, SOUND_MS + CRASHING_MS)
    .filter(({ kind }) => FAULT_KINDS.includes(kind));
  const place = Math.floor(draw() * (SHARED_PARTS.length + 1));
  const crashing = [...SHARED_PARTS];
  crashing.splice(place, 0, `${soakRecords.CRASHING_PART}:410`);
  const sound = { intervalMs: SOUND_INTERVAL_MS, forMs: SOUND_MS + CRASHING_MS };
  const buildSound = () =>
    buildParts(draw, draw() < EXTRA_SHARE ? [...SHARED_PARTS, EXTRA_PART] : SHARED_PARTS);
  const sendCrashing = async () => {
    await timers.setTimeout(SOUND_MS);
    const rate = { intervalMs: CRASHING_INTERVAL_MS, forMs: CRASHING_MS };
    await sendSteadily(fleet, 'part', rate, () => buildParts(draw, crashing));
  };
  await Promise.all([
    soakFaults.applyFaults(fleet, faults),
    sendSteadily(fleet, 'sound', sound, buildSound),
    sendCrashing(),
  ]);
  await timers.setTimeout(AWAY_MS);
}
