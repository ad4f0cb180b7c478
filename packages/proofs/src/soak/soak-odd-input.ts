/**
 * Gives gateways input that means nothing, of all kinds that they read: store entries, configurations,
 * headers of callers, bytes on their ports and datagrams between gateways.
 */
import * as dgram from 'node:dgram';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as oddInput from '@toucanproxy/platform/mocks/odd-input';
import * as platformFixtures from '@toucanproxy/platform/mocks/platform-fixtures';
import * as schema from '@toucanproxy/schema';
import * as randomSource from '../mocks/random-source.js';
import * as soakCall from './soak-call.js';
import type * as soakChecks from './soak-checks.js';
import type * as soakFleet from './soak-fleet.js';
import * as soakRecords from './soak-records.js';
import * as soakSeries from './soak-series.js';

const MAX_PAUSE_MS = 200;
const ENTRY_MS = 1500;
const DEADLINE_MS = 2000;
const MAX_NOISE_BYTES = 200;
const NUMBERS = [NaN, Infinity, -1, 2 ** 32, 1e308];
const ADDRESSES = ['127.0.0.1:70000', '127.0.0.1:0', '', 'host:1', '0.0.0.0:1'];
/** Log lines of exceptions that no code expects. */
const FAILURE_PATTERN = /"event":"internal-error".*|^result \d+: uncaught: .*/gm;

type Source = { draw: randomSource.DrawRandom; choose: oddInput.Choose };

/** Draws bytes that are no message. */
function drawNoise({ draw }: Source): Buffer {
  const length = Math.floor(randomSource.drawBetween(draw, 1, MAX_NOISE_BYTES));
  return Buffer.from(Array.from({ length }, () => Math.floor(draw() * 256)));
}

/** Writes the entry of a backend server that does not exist, and removes it after a time. */
function writeEntry({ store }: soakFleet.SoakFleet, { choose }: Source, id: string): void {
  setTimeout(oddInput.writeOddEntry(store, id, choose), ENTRY_MS);
}

/** Writes the next configuration with one number that means nothing. */
function writeConfiguration(fleet: soakFleet.SoakFleet, { choose }: Source): void {
  fleet.version += 1;
  const { store, version, credentials, routeTimes } = fleet;
  platformFixtures.writeOddCredentials(store, version, credentials, routeTimes, choose);
}

/** Sends a call whose headers state odd amounts. */
function sendCall(fleet: soakFleet.SoakFleet, { choose }: Source, id: string): void {
  const { index, callers } = choose(fleet.gateways);
  const kind = soakRecords.CallKind.SAFE;
  const call = { id, kind, path: `/safe/${id}`, body: '', ...fleet.credentials[0] };
  const extraHeaders = oddInput.buildOddHeaders(choose);
  const planned = { ...call, gateway: index, deadlineMs: DEADLINE_MS, extraHeaders };
  soakCall.makeCall(fleet, planned, callers.port, undefined);
}

/** Sends bytes that are no request to the port for callers. */
function sendBytes({ gateways }: soakFleet.SoakFleet, source: Source): void {
  const socket = net.connect(source.choose(gateways).callers.port, '127.0.0.1');
  socket.on('error', () => {});
  socket.end(drawNoise(source));
}

/** Builds a datagram: noise, a message that is cut off, or one with odd numbers and addresses. */
function buildDatagram(source: Source): Uint8Array {
  const { choose } = source;
  const amount = choose(NUMBERS);
  const report = schema.create(schema.GatewayReportSchema, {
    address: choose(ADDRESSES),
    life: 'odd',
    sequence: 1,
    used: [{ workspace: 'workspace-a', amount }],
    configurationVersion: amount,
    peers: [...ADDRESSES],
  });
  const value = schema.create(schema.LostRunsSchema, {
    runs: [{ contentDigest: 'odd', serverId: 'odd', serverBornMs: amount, runMs: 2 ** 32 - 1 }],
  });
  const contents = [
    { case: 'report', value: report } as const,
    { case: 'lostRuns', value } as const,
  ];
  const content = choose<schema.PeerMessage['content']>(contents);
  const message = schema.create(schema.PeerMessageSchema, { content });
  const bytes = schema.toBinary(schema.PeerMessageSchema, message);
  return choose([bytes, bytes.subarray(0, bytes.length / 2), drawNoise(source)]);
}

/** Sends a datagram to a gateway. */
function sendDatagram({ gateways }: soakFleet.SoakFleet, source: Source, socket: dgram.Socket) {
  const { peerAddress } = source.choose(gateways);
  const [host, port] = peerAddress.split(':');
  socket.send(buildDatagram(source), Number(port), host);
}

export enum OddKind {
  ENTRY = 'entry',
  CONFIGURATION = 'configuration',
  HEADERS = 'headers',
  BYTES = 'bytes',
  DATAGRAM = 'datagram',
}

const KINDS = Object.values(OddKind);

/** Gives gateways odd input of a kind once. */
function applyKind(
  fleet: soakFleet.SoakFleet,
  source: Source,
  socket: dgram.Socket,
  kind: OddKind,
  id: string,
): void {
  const steps = {
    [OddKind.ENTRY]: () => writeEntry(fleet, source, id),
    [OddKind.CONFIGURATION]: () => writeConfiguration(fleet, source),
    [OddKind.HEADERS]: () => sendCall(fleet, source, id),
    [OddKind.BYTES]: () => sendBytes(fleet, source),
    [OddKind.DATAGRAM]: () => sendDatagram(fleet, source, socket),
  };
  steps[kind]();
}

/** Gives gateways odd input a number of times, of the given kinds. */
export async function runOddInput(
  fleet: soakFleet.SoakFleet,
  draw: randomSource.DrawRandom,
  count: number,
  { kinds = KINDS, name = 'odd' }: { kinds?: readonly OddKind[]; name?: string } = {},
): Promise<void> {
  const source = { draw, choose: <T>(list: readonly T[]) => randomSource.drawFrom(draw, list) };
  const socket = dgram.createSocket('udp4');
  await soakSeries.runSeries(draw, count, MAX_PAUSE_MS, async (index) =>
    applyKind(fleet, source, socket, source.choose(kinds), `${name}-${index}`),
  );
  socket.close();
}

/** Checks that no gateway has logged an exception that no code expects. */
export function checkFailures({ gateways }: soakFleet.SoakFleet): soakChecks.Violation[] {
  return gateways.flatMap(({ index, logFile }) =>
    [...fs.readFileSync(logFile, 'utf8').matchAll(FAILURE_PATTERN)].map(([line]) => ({
      guarantee: 'no internal error',
      detail: `gateway ${index}: ${line}`,
    })),
  );
}
