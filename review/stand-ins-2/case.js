/** What all cases share: the record, the end of all processes and the exit code. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as processes from './processes.js';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Creates the record of a case in its folder. */
function createRecord(folder) {
  const file = path.join(folder, 'record.txt');
  const startMs = Date.now();
  fs.writeFileSync(file, '');
  return (kind, fields = {}) => {
    const atMs = String((fields.atMs ?? Date.now()) - startMs).padStart(6);
    const { atMs: _, ...rest } = fields;
    fs.appendFileSync(file, `${atMs} ms ${kind} ${JSON.stringify(rest)}\n`);
  };
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param play plays the case; resolves to the breaches that it has seen
 */
export async function runCase(folder, play) {
  const record = createRecord(folder);
  const hasTrouble = process.env.TROUBLE !== '0';
  const temporary = processes.createFolder();
  const cleanups = [];
  let code = NOT_RUN;
  try {
    const addCleanup = (cleanup) => cleanups.push(cleanup);
    const breaches = await play({ record, hasTrouble, folder: temporary, addCleanup });
    breaches.forEach((breach) => record('BREACH', breach));
    code = breaches.length > 0 ? BROKEN : HELD;
    record('result', { hasTrouble, breaches: breaches.length, code });
  } catch (error) {
    record('could not run', { reason: error.stack });
  }
  await Promise.all(cleanups.map((cleanup) => cleanup()));
  if (process.env.KEEP_LOGS !== undefined) {
    fs.cpSync(temporary, process.env.KEEP_LOGS, { recursive: true });
  }
  fs.rmSync(temporary, { recursive: true });
  process.exit(code);
}
