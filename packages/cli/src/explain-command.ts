/** The command that prints the log lines of one request. */
import * as fs from 'node:fs';
import * as clipanion from 'clipanion';
import * as exitCode from './exit-code.js';
import * as requestLines from './request-lines.js';

const STANDARD_INPUT = '-';
const STANDARD_INPUT_FD = 0;

export class ExplainCommand extends clipanion.Command {
  static override paths = [['explain']];

  static override usage = clipanion.Command.Usage({
    description: "show one request's decisions from the logs",
    details: `
      Reads log files and prints the lines about one request, ordered by time. The request id is
      in the x-request-id header of the response and in the body of an error response. Exits
      with 3 if no line mentions the request.
    `,
    examples: [
      ['Search several logs', 'toucanproxy explain entry-1-5f3a-17 entry-1.log runner-*.log'],
      ['Search standard input', 'toucanproxy explain entry-1-5f3a-17 -'],
    ],
  });

  requestId = clipanion.Option.String({ name: 'REQUEST_ID' });

  files = clipanion.Option.Rest({ required: 1, name: 'LOGFILE' });

  async execute(): Promise<number> {
    const texts: string[] = [];
    try {
      texts.push(
        ...this.files.map((file) =>
          fs.readFileSync(file === STANDARD_INPUT ? STANDARD_INPUT_FD : file, 'utf8'),
        ),
      );
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`);
      return exitCode.ExitCode.USAGE;
    }
    const lines = requestLines.findRequestLines(texts, this.requestId);
    lines.forEach((line) => this.context.stdout.write(`${requestLines.formatLine(line)}\n`));
    if (lines.length === 0) {
      this.context.stderr.write(`no log line mentions ${this.requestId}\n`);
      return exitCode.ExitCode.UNREACHABLE;
    }
    return exitCode.ExitCode.OK;
  }
}
