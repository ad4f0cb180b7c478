/** Measures the memory of all processes of a soak test. */
import * as fs from 'node:fs';
import type * as soakFleet from './soak-fleet.js';

const INTERVAL_MS = 1000;
const KB_PER_MB = 1024;

/** Reads the resident memory of a process, MB; 0 if it has ended. */
function readMemoryMb(pid: number | undefined): number {
  try {
    const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/^VmRSS:\s*(\d+)/m.exec(status)?.[1] ?? 0) / KB_PER_MB;
  } catch {
    return 0;
  }
}

/** Measures until the returned function is called, which gives the most that was used, MB. */
export function watchMemory({ gateways }: soakFleet.SoakFleet): () => number {
  let peakMb = 0;
  const timer = setInterval(() => {
    const pids = [process.pid, ...gateways.map(({ child }) => child?.pid)];
    const usedMb = pids.map(readMemoryMb).reduce((sum, one) => sum + one, 0);
    peakMb = Math.max(peakMb, usedMb);
  }, INTERVAL_MS);
  timer.unref();
  return () => {
    clearInterval(timer);
    return Math.round(peakMb);
  };
}
