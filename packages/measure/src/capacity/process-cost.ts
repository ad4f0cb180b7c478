/** Reads what a running process costs, from the system's own accounts of it. */
import * as fs from 'node:fs';

/** Clock ticks in a second, as Linux counts processor time for processes. */
const TICKS_PER_SECOND = 100;
const MS_PER_SECOND = 1000;
const BYTES_PER_KIB = 1024;
/** Fields of `/proc/PID/stat` after the name: user and system time. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Reads the processor time of a process so far, milliseconds. */
export function readProcessorMs(pid: number): number {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return (ticks * MS_PER_SECOND) / TICKS_PER_SECOND;
}

/** Reads the resident memory of a process, bytes. */
export function readResidentBytes(pid: number): number {
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
  const match = /VmRSS:\s+(\d+) kB/.exec(status);
  return Number(match?.[1] ?? 0) * BYTES_PER_KIB;
}
