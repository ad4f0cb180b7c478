/** What a gateway process is told at its start. */

import type * as gateway from '@toucanproxy/core/gateway';

export type ListenAddress = { host: string; port: number };

export type GatewaySettings = {
  /** Name of the VM, for logs. */
  name: string;
  failureDomain: string;
  /** Where callers are served. */
  callers: ListenAddress;
  /** Where readiness, status and metrics are served. */
  operators: ListenAddress;
  /** Where metrics are served besides; undefined where that is nowhere else. */
  metrics: ListenAddress | undefined;
  /** Path of the readiness question. */
  readinessPath: string;
  /** Where the other gateways send their reports. */
  peerListen: ListenAddress;
  /** Processor time that the process may use, in hundredths of a core. */
  processorPercent: number;
  /** Addresses, IP and port, of gateways to begin with; some may be gone. */
  peerSeeds: string[];
  store: ListenAddress;
  /** Key of the configuration, and beginning of the keys of backend servers. */
  configurationKey: string;
  serversPrefix: string;
  /** Beginning of the keys that each have one failure domain evacuated. */
  evacuationsPrefix: string;
  /** Region of each failure domain, by its name. */
  domainRegions: Record<string, string>;
  /** A backend server that leaves gets no new work after this time, milliseconds. */
  leavingMs: number;
  /** A configuration is in force after this time, milliseconds. */
  configurationMs: number;
  /** A failure domain that is evacuated gets no new work after this time, milliseconds. */
  evacuationMs: number;
  /** What a backend server that warms up may get in a second beyond what it bears. */
  warmUpTolerance: gateway.WarmUpTolerance;
  /** Revoked credentials must stop working within this time; undefined for no bound, ms. */
  revocationMs: number | undefined;
  /** A stopping process is killed after this time, milliseconds. */
  stopMs: number;
  /** What all gateways together may admit beyond a quota: a part of it, and an amount. */
  quotaTolerance: gateway.QuotaTolerance;
  /** Part of sends that may be repeats, and repeats allowed besides, over all gateways. */
  retryRatio: number;
  retryExtra: number;
};
