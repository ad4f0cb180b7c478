/** Finds the log lines of one request. */

export type LogLine = Record<string, unknown> & { time: string; event: string };

/** Fields that bunyan adds, and fields that are printed at the start of a line. */
const HIDDEN_FIELDS = new Set([
  ...['name', 'hostname', 'pid', 'level', 'v', 'msg'],
  ...['time', 'event', 'entry', 'agent', 'gateway', 'life', 'request'],
]);

/** Parses one line; undefined if it is not a log line. */
function parseLine(text: string): LogLine | undefined {
  try {
    const line = JSON.parse(text) as LogLine;
    return typeof line.time === 'string' && typeof line.event === 'string' ? line : undefined;
  } catch {
    return undefined;
  }
}

/** Whether a line is about a request or one of its attempts. */
function isAbout(line: LogLine, requestId: string): boolean {
  const request = String(line.request ?? '');
  return request === requestId || request.startsWith(`${requestId}#`);
}

/** Finds the lines about a request in the given logs, ordered by time. */
export function findRequestLines(texts: readonly string[], requestId: string): LogLine[] {
  return texts
    .flatMap((text) => text.split('\n'))
    .map(parseLine)
    .filter((line): line is LogLine => line !== undefined && isAbout(line, requestId))
    .sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
}

/** Formats a line: time, process, event, then the other fields. */
export function formatLine(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  const processName = String(line.entry ?? line.agent ?? line.gateway ?? line.name ?? '');
  return [line.time, processName, line.event, ...fields].join('  ');
}
