/**
 * Polls the platform's list of VMs for those that are leaving. The list lags behind the actual
 * state of the VMs.
 */
import * as undici from 'undici';

/**
 * Minimum interval between polls, milliseconds. Polling more often would gain little: the list
 * lags, and what an agent reports about itself takes precedence.
 */
const POLL_MIN_MS = 3000;
const POLL_SPREAD_MS = 2000;
const RESPONSE_TIMEOUT_MS = 2000;

type VmListOptions = {
  vmListUrl: string;
  /** Called with the addresses of VMs that are leaving. */
  receiveLeaving: (addresses: string[]) => void;
  reportFailure: (reason: string) => void;
  drawRandom: () => number;
};

type VmListEntry = { address: string; state: string };

export type VmListPoll = { stop: () => void };

/** Reads the list once. */
async function readList(options: VmListOptions): Promise<void> {
  const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
  // On a kept connection, a late second response would pass for the response to the next call.
  const response = await undici.request(options.vmListUrl, { signal, reset: true });
  if (response.statusCode !== 200) {
    await response.body.dump();
    throw new Error(`VM list responded with status ${response.statusCode}`);
  }
  const list = (await response.body.json()) as { vms: VmListEntry[] };
  const leaving = list.vms.filter((vm) => vm.state === 'leaving').map((vm) => vm.address);
  options.receiveLeaving(leaving);
}

/** Starts polling; does nothing if the platform has no VM list. */
export function startVmListPoll(options: VmListOptions): VmListPoll {
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;
  const poll = async () => {
    await readList(options).catch((error) => options.reportFailure(String(error)));
    if (!stopped) {
      timer = setTimeout(poll, POLL_MIN_MS + options.drawRandom() * POLL_SPREAD_MS);
    }
  };
  if (options.vmListUrl !== '') {
    poll();
  }
  return {
    stop: () => {
      stopped = true;
      clearTimeout(timer);
    },
  };
}
