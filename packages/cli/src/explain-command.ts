/** The command that shows what was decided for one request. */
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
      Reads the logs of all processes given and prints the lines of one request in order of
      time. The request id stands in the x-request-id header of the answer and in the body of
      a failure. Ends with 3 where no line names the request.
    `,
    examples: [
      ['Search some logs', 'toucanproxy explain entry-1-5f3a-17 entry-1.log runner-*.log'],
      ['Search what comes on standard input', 'toucanproxy explain entry-1-5f3a-17 -'],
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
      this.context.stderr.write(`no line names ${this.requestId}\n`);
      return exitCode.ExitCode.UNREACHABLE;
    }
    return exitCode.ExitCode.OK;
  }
}
