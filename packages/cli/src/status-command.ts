/** The command that asks processes for their state. */
import * as clipanion from 'clipanion';
import * as undici from 'undici';
import * as exitCode from './exit-code.js';
import * as statusTable from './status-table.js';

const ANSWER_MS = 5000;

type Answer = { address: string; status: unknown } | { address: string; failure: string };

/** Asks one process. */
async function fetchStatus(address: string): Promise<Answer> {
  try {
    const signal = AbortSignal.timeout(ANSWER_MS);
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
      Asks each operator address for the backend servers it knows (live, leaving, silent),
      its queues by tier and the document version in force. Ends with 3 where a process
      does not answer.
    `,
    examples: [
      ['Two processes as tables', 'toucanproxy status 10.0.0.1:7403 10.0.0.7:7403'],
      ['As JSON', 'toucanproxy status --json 10.0.0.1:7403'],
    ],
  });

  json = clipanion.Option.Boolean('--json', false, { description: 'print JSON, a line each' });

  addresses = clipanion.Option.Rest({ required: 1, name: 'ADDRESS' });

  async execute(): Promise<number> {
    const answers = await Promise.all(this.addresses.map(fetchStatus));
    answers.forEach((answer) => {
      const text = this.json ? JSON.stringify(answer) : formatAnswer(answer);
      this.context.stdout.write(`${text}\n`);
    });
    const failed = answers.some((answer) => 'failure' in answer);
    return failed ? exitCode.ExitCode.UNREACHABLE : exitCode.ExitCode.OK;
  }
}

/** Formats the answer of one process as tables. */
function formatAnswer(answer: Answer): string {
  const body =
    'failure' in answer
      ? `no answer: ${answer.failure}`
      : statusTable.formatStatus(answer.status as Record<string, unknown>);
  return `== ${answer.address}\n${body}\n`;
}
