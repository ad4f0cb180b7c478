/** Tests that play pairs of named faults. */
import type * as namedFaults from './named-faults.js';

type Pair = readonly [namedFaults.FaultName, namedFaults.FaultName];

/** Pairs by the title of the test that plays them. */
export const TESTED: readonly { pair: Pair; test: string }[] = [
  {
    pair: ['second response', 'response without a length'],
    test: 'second response in single bytes is no part of the first',
  },
  {
    pair: ['second response', 'truncated response'],
    test: 'second response does not fill up a body that was cut short',
  },
  {
    pair: ['second response', 'stream cut inside an event'],
    test: 'second response inside an event breaks the stream off',
  },
  {
    pair: ['response without a length', 'server connections reset'],
    test: 'response without a length whose connection is reset',
  },
  {
    pair: ['response without a length', 'stream cut inside an event'],
    test: 'stream that ends inside an event is broken off',
  },
  {
    pair: ['stream cut inside an event', 'server connections reset'],
    test: 'stream resumes at another server after a reset inside an event',
  },
  {
    pair: ['response without a length', 'server crashes'],
    test: 'stream is resumed after its server crashes between two events',
  },
  {
    pair: ['response without a length', 'entry says draining'],
    test: 'response that ends while its server leaves is whole',
  },
  {
    pair: ['large configurations', 'slow store link'],
    test: 'series of large configurations over a slow link',
  },
  {
    pair: ['series of configurations', 'slow store link'],
    test: 'series of large configurations over a slow link',
  },
  {
    pair: ['planned stop', 'truncated response'],
    test: 'begun stream resumes while the gateway stops',
  },
  {
    pair: ['planned stop', 'caller reads slowly'],
    test: 'slow caller gets its responses before the exit',
  },
  {
    pair: ['planned stop', 'pipelined requests'],
    test: 'exit waits for a response that its caller reads slowly',
  },
  {
    pair: ['pipelined requests', 'caller reads slowly'],
    test: 'slow caller gets its responses before the exit',
  },
  {
    pair: ['planned stop', 'caller sends slowly'],
    test: 'exit waits for a request that is being read',
  },
  {
    pair: ['planned stop', 'response without a length'],
    test: 'response without a length is broken off visibly at the exit',
  },
  {
    pair: ['planned stop', 'all slots taken'],
    test: 'waiting requests are refused before the exit',
  },
  { pair: ['planned stop', 'settings reloaded'], test: 'grace period that SIGHUP changed is used' },
  {
    pair: ['all slots taken', 'settings reloaded'],
    test: 'grace period that SIGHUP changed is used',
  },
  {
    pair: ['planned stop', 'event loop stalled'],
    test: 'response that arrived during a stall is passed on at a shutdown',
  },
  {
    pair: ['domain evacuated', 'store refuses'],
    test: 'start of an evacuation is noticed if it begins while the store is down',
  },
  {
    pair: ['domain evacuated', 'store history lost'],
    test: 'end of an evacuation is noticed if it ends while the store is down',
  },
  {
    pair: ['key revoked', 'store refuses'],
    test: 'change is found although the store has lost its history',
  },
  {
    pair: ['key revoked', 'store history lost'],
    test: 'change is found although the store has lost its history',
  },
  {
    pair: ['store refuses', 'store history lost'],
    test: 'change is found although the store has lost its history',
  },
  {
    pair: ['key revoked', 'older configuration'],
    test: 'older or malformed configuration does not replace a newer one',
  },
  {
    pair: ['key revoked', 'odd configuration'],
    test: 'older or malformed configuration does not replace a newer one',
  },
  {
    pair: ['key revoked', 'store restored'],
    test: 'key stays revoked although the restore lost its revocation',
  },
  {
    pair: ['entry removed', 'store restored'],
    test: 'server whose entry was lost in the restore is removed',
  },
  {
    pair: ['domain evacuated', 'store restored'],
    test: 'writes after a restore from an older backup are seen',
  },
  {
    pair: ['entry removed', 'store refuses'],
    test: 'entry that expired during a store outage is kept',
  },
  {
    pair: ['server asks for a backoff', 'scheduler killed'],
    test: 'scheduler killed during a backoff',
  },
  {
    pair: ['server asks for a backoff', 'gateways partitioned'],
    test: 'backoff with a partition and a third of the datagrams lost',
  },
  {
    pair: ['server asks for a backoff', 'datagrams lost'],
    test: 'backoff with a partition and a third of the datagrams lost',
  },
  {
    pair: ['datagrams lost', 'gateways partitioned'],
    test: 'backoff with a partition and a third of the datagrams lost',
  },
  {
    pair: ['server asks for a backoff', 'server restarts under its id'],
    test: 'next incarnation of a server has no backoff',
  },
  {
    pair: ['server states that it leaves', 'scheduler killed'],
    test: 'scheduler killed after a server has reported that it is leaving',
  },
  {
    pair: ['server states that it leaves', 'gateway killed'],
    test: 'leaving server with schedulers that restart in turn',
  },
  {
    pair: ['server states that it leaves', 'gateways partitioned'],
    test: 'leaving server with a partition between gateways',
  },
  {
    pair: ['server states that it leaves', 'datagrams lost'],
    test: 'leaving server with a third of the datagrams lost',
  },
  {
    pair: ['server states that it leaves', 'server restarts under its id'],
    test: 'next incarnation of a server that had left gets requests',
  },
  {
    pair: ['rate limit of a server', 'scheduler killed'],
    test: 'scheduler killed while a server is limited',
  },
  {
    pair: ['rate limit of a server', 'gateway killed'],
    test: 'limit is lifted after the gateway that received it was killed',
  },
  {
    pair: ['rate limit of a server', 'gateway suspended'],
    test: 'scheduler suspended while a server is limited',
  },
  {
    pair: ['rate limit of a server', 'gateways partitioned'],
    test: 'schedulers on both sides of a partition',
  },
  { pair: ['rate limit of a server', 'datagrams lost'], test: 'a third of the datagrams are lost' },
  {
    pair: ['rate limit of a server', 'server restarts under its id'],
    test: 'server that restarts under its id is not limited',
  },
  { pair: ['domain evacuated', 'all slots taken'], test: 'domain is evacuated during a burst' },
  {
    pair: ['domain evacuated', 'scheduler killed'],
    test: 'scheduler killed as its domain is evacuated',
  },
  {
    pair: ['requests over a quota', 'gateway killed'],
    test: 'quota while gateways are killed in turn',
  },
  {
    pair: ['requests over a quota', 'all gateways killed'],
    test: 'quota while all gateways are killed several times',
  },
  { pair: ['all slots taken', 'scheduler killed'], test: 'scheduler killed while calls wait' },
  { pair: ['all slots taken', 'gateway killed'], test: 'gateway killed while it uses all places' },
  {
    pair: ['all slots taken', 'gateway suspended'],
    test: 'grants of a scheduler that resumes are not used',
  },
  {
    pair: ['event loop stalled', 'caller leaves'],
    test: 'requests of many callers that left during a stall are not sent',
  },
  {
    pair: ['event loop stalled', 'new connection for each request'],
    test: 'connections that wait too long are refused unread',
  },
  {
    pair: ['event loop stalled', 'all slots taken'],
    test: 'waiting request whose caller left during a stall is not sent',
  },
  {
    pair: ['all slots taken', 'caller leaves'],
    test: 'waiting request whose caller left during a stall is not sent',
  },
  {
    pair: ['request that ends servers', 'server connections silent'],
    test: 'request that ends servers, which stay listed',
  },
  {
    pair: ['prompt part that ends servers', 'server connections silent'],
    test: 'part of prompts that ends servers, which fall silent',
  },
  {
    pair: ['request that ends servers', 'gateway killed'],
    test: 'request that ends servers, gateways begin anew in turn',
  },
  {
    pair: ['prompt part that ends servers', 'gateway killed'],
    test: 'part of prompts that ends servers, gateways begin anew in turn',
  },
  {
    pair: ['all gateways killed', 'stream taken up elsewhere'],
    test: 'stream of two versions is not taken up after the loss of all gateways',
  },
  {
    pair: ['planned stop', 'new connection for each request'],
    test: 'requests at a planned stop are answered or refused, seed 13',
  },
  {
    pair: ['planned stop', 'processor quota'],
    test: 'requests at a planned stop are answered or refused, seed 13',
  },
  {
    pair: ['processor quota', 'new connection for each request'],
    test: 'requests at a planned stop are answered or refused, seed 13',
  },
  {
    pair: ['response before the end of the body', 'server connections reset'],
    test: 'stream goes on elsewhere after an early response is reset',
  },
  {
    pair: ['response before the end of the body', 'response without a length'],
    test: 'stream goes on elsewhere after an early response is reset',
  },
  {
    pair: ['pipelined requests', 'bytes that are no request'],
    test: 'refusal does not appear inside a stream',
  },
  {
    pair: ['planned stop', 'new connection for each request'],
    test: 'connections that wait to be accepted when the port closes get a response',
  },
  {
    pair: ['pipelined requests', 'caller leaves'],
    test: 'pipelined requests of a caller that has left hold no memory',
  },
  {
    pair: ['response without end', 'failed response'],
    test: 'body of a failure without end lets a safe request run elsewhere',
  },
  {
    pair: ['response without end', 'response without a length'],
    test: 'body of a failure without end lets a safe request run elsewhere',
  },
];
