/** The loads that ways of finding prompt parts that crash servers are compared on. */
import type * as load from './load.js';

const FLEET = { gateways: 3, servers: 8, slots: 20, durationMs: 20_000 };
const BASE = { ...FLEET, crashingAtOnce: 1 };

export const SETTINGS: readonly load.Setting[] = [
  { ...BASE, name: 'part in the middle' },
  { ...BASE, name: 'part first', isCauseFirst: true },
  { ...BASE, name: 'two workspaces', crashingWorkspaces: 2 },
  { ...BASE, name: 'six at once', crashingAtOnce: 6 },
  { ...BASE, name: 'six at once, slow', crashingAtOnce: 6, crashingPerSecond: 2 },
  { ...BASE, name: 'silent servers', isSilent: true },
  { ...BASE, name: 'six at once, silent', crashingAtOnce: 6, isSilent: true },
  { ...BASE, name: 'gateways anew', restartMs: 10_000 },
  { ...BASE, name: '26 gateways', gateways: 26 },
  { ...BASE, name: '26 gateways, silent', gateways: 26, isSilent: true },
  { ...BASE, name: '26 gateways, six at once', gateways: 26, crashingAtOnce: 6 },
  { ...BASE, name: '26 gateways, anew', gateways: 26, restartMs: 10_000 },
  { ...BASE, name: '10 servers', servers: 10, slots: 9, gateways: 4 },
  { ...BASE, name: '33 servers', servers: 33, slots: 5 },
  { ...BASE, name: 'one each 2 s', crashingPerSecond: 0.5, durationMs: 60_000 },
  { ...BASE, name: 'two minutes', durationMs: 130_000 },
  { ...BASE, name: 'with other losses', noise: { share: 0.01, everyMs: 1200 } },
  { ...FLEET, name: 'no cause, one lost', noise: { share: 0.01, everyMs: 1200 } },
  { ...FLEET, name: 'no cause, a third lost', noise: { share: 0.33, everyMs: 4000 } },
  {
    ...FLEET,
    name: 'no cause, a third silent',
    noise: { share: 0.33, everyMs: 4000 },
    isSilent: true,
  },
];
