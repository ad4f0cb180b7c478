/** Settings of a gateway process. */

import type * as gateway from '@toucanproxy/core/gateway';

export type ListenAddress = { host: string; port: number };

export type GatewaySettings = {
  /** Name of the VM, used in logs. */
  name: string;
  failureDomain: string;
  /** Address for callers. */
  callers: ListenAddress;
  /** Address for operators: readiness, status and metrics. */
  operators: ListenAddress;
  /** Additional address for operators, meant for metrics; undefined if there is none. */
  metrics: ListenAddress | undefined;
  /** Path of the readiness check. */
  readinessPath: string;
  /** Address for datagrams from other gateways. */
  peerListen: ListenAddress;
  /** Processor time that the process may use, in percent of one core. */
  processorPercent: number;
  /** Memory that the process may use, MB; undefined for no limit. */
  memoryMb: number | undefined;
  /** Addresses ("IP:port") of the gateways to contact first; some may no longer exist. */
  peerSeeds: string[];
  store: ListenAddress;
  /** Key of the configuration, and prefix of the keys of backend servers. */
  configurationKey: string;
  serversPrefix: string;
  /** Prefix of the keys that each mark one failure domain as evacuated. */
  evacuationsPrefix: string;
  /** Number of failure domains whose loss the deployment must tolerate; 0 for no requirement. */
  toleratedDomainLosses: number;
  /** Region of each failure domain, by the name of the domain. */
  domainRegions: Record<string, string>;
  /** Time after which a backend server that is leaving must get no new work, milliseconds. */
  leavingMs: number;
  /** Time within which a new configuration must be active, milliseconds. */
  configurationMs: number;
  /** Time after which an evacuated failure domain must get no new work, milliseconds. */
  evacuationMs: number;
  /** How far requests per second to a backend server that is warming up may exceed its capacity. */
  warmUpTolerance: gateway.WarmUpTolerance;
  /** Time within which revoked credentials must stop working, ms; undefined for no limit. */
  revocationMs: number | undefined;
  /** Time after which a process that is shutting down is killed, milliseconds. */
  stopMs: number;
  /** What all gateways together may admit beyond a quota: a share of it plus a fixed amount. */
  quotaTolerance: gateway.QuotaTolerance;
  /** The whole system starts for the first time; false for a process that is restarted. */
  isFirstStart: boolean;
  /** Share of the sends of all gateways together that may be retries. */
  retryRatio: number;
  /** Number of retries that all gateways together may make in addition to that share. */
  retryExtra: number;
};
