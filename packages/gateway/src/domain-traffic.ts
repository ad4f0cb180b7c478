/**
 * Counts the traffic of a gateway by cause and by whether it stays in its failure domain. Only what
 * this gateway sends to other gateways is counted, so that the sum over all gateways counts each
 * datagram once; of requests, the bodies in both directions.
 */
import type * as runtime from '@toucanproxy/runtime';
import type * as schema from '@toucanproxy/schema';
import type * as backendAttempt from './backend-attempt.js';

/** Amounts within the failure domain of the gateway and to or from others. */
export type DomainCount = { own: number; other: number };

type MessageCase = NonNullable<schema.PeerMessage['content']['case']>;

/** Reports that are passed on count as reports, queries for records of streams as records. */
export type PeerCause = Exclude<MessageCase, 'relayed' | 'originQuery'>;

const CAUSE_BY_CASE: Record<MessageCase, PeerCause> = {
  report: 'report',
  relayed: 'report',
  ask: 'ask',
  reply: 'reply',
  origins: 'origins',
  originQuery: 'origins',
  lostRuns: 'lostRuns',
};

export type DomainTraffic = {
  peerBytes: Record<PeerCause, DomainCount>;
  requestBytes: DomainCount;
  placements: DomainCount;
};

/** Creates counts of 0. */
export function createDomainTraffic(): DomainTraffic {
  const createCount = () => ({ own: 0, other: 0 });
  return {
    peerBytes: {
      report: createCount(),
      ask: createCount(),
      reply: createCount(),
      origins: createCount(),
      lostRuns: createCount(),
    },
    requestBytes: createCount(),
    placements: createCount(),
  };
}

/** Adds an amount to one of two counts. */
export function addAmount(count: DomainCount, isOwnDomain: boolean, amount: number): void {
  count[isOwnDomain ? 'own' : 'other'] += amount;
}

/** Adds the bytes of a datagram to another gateway to the counts. */
export function countDatagram(
  { peerBytes }: DomainTraffic,
  isOwnDomain: boolean,
  message: MessageCase,
  bytes: number,
): void {
  addAmount(peerBytes[CAUSE_BY_CASE[message]], isOwnDomain, bytes);
}

/** Adds the bodies of a request and of its response to the counts as they are transferred. */
export function countBodies(
  { requestBytes }: DomainTraffic,
  isOwnDomain: boolean,
  body: Buffer | null,
  listener: backendAttempt.AttemptListener,
): backendAttempt.AttemptListener {
  return {
    ...listener,
    canSend: () => {
      const canSend = listener.canSend();
      addAmount(requestBytes, isOwnDomain, canSend ? (body?.length ?? 0) : 0);
      return canSend;
    },
    onData: (chunk) => {
      addAmount(requestBytes, isOwnDomain, chunk.length);
      return listener.onData(chunk);
    },
  };
}

/** Lists the two samples of a count. */
function listCountSamples(
  name: string,
  { own, other }: DomainCount,
  labels: Record<string, string> = {},
): runtime.MetricSample[] {
  return [
    { name, labels: { ...labels, domain: 'own' }, value: own },
    { name, labels: { ...labels, domain: 'other' }, value: other },
  ];
}

/** Lists all counts as metrics. */
export function listTrafficSamples(traffic: DomainTraffic): runtime.MetricSample[] {
  const { peerBytes, requestBytes, placements } = traffic;
  return [
    ...Object.entries(peerBytes).flatMap(([cause, count]) =>
      listCountSamples('peer_bytes_total', count, { cause }),
    ),
    ...listCountSamples('request_bytes_total', requestBytes),
    ...listCountSamples('placements_total', placements),
  ];
}
