/** The command that prints the status of running processes. */
import * as clipanion from 'clipanion';
import * as undici from 'undici';
import * as exitCode from './exit-code.js';
import * as statusTable from './status-table.js';

const TIMEOUT_MS = 5000;

type StatusResult = { address: string; status: unknown } | { address: string; failure: string };

/** Fetches the status of one process. */
async function fetchStatus(address: string): Promise<StatusResult> {
  try {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const response = await undici.request(`http://${address}/status`, { signal });
    return { address, status: await response.body.json() };
  } catch (error) {
    const { code, name } = error as NodeJS.ErrnoException;
    return { address, failure: code ?? name };
  }
}

export class StatusCommand extends clipanion.Command {
  static override paths = [['status']];

  static override usage = clipanion.Command.Usage({
    description: 'show the state of running processes',
    details: `
      Fetches from each operator address its backend servers and their states (such as live,
      leaving or silent), its queues by tier, and which document version is active. Exits with 3
      if a process does not respond.
    `,
    examples: [
      ['Show two processes as tables', 'toucanproxy status 10.0.0.1:7403 10.0.0.7:7403'],
      ['Print JSON', 'toucanproxy status --json 10.0.0.1:7403'],
    ],
  });

  json = clipanion.Option.Boolean('--json', false, {
    description: 'print one line of JSON per process',
  });

  addresses = clipanion.Option.Rest({ required: 1, name: 'ADDRESS' });

  async execute(): Promise<number> {
    const results = await Promise.all(this.addresses.map(fetchStatus));
    results.forEach((result) => {
      const text = this.json ? JSON.stringify(result) : formatResult(result);
      this.context.stdout.write(`${text}\n`);
    });
    const failed = results.some((result) => 'failure' in result);
    return failed ? exitCode.ExitCode.UNREACHABLE : exitCode.ExitCode.OK;
  }
}

/** Formats the status of one process as tables, or why there is none. */
function formatResult(result: StatusResult): string {
  const body =
    'failure' in result
      ? `no response: ${result.failure}`
      : statusTable.formatStatus(result.status as Record<string, unknown>);
  return `== ${result.address}\n${body}\n`;
}
