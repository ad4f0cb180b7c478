/** Finds the log lines of one request. */

export type LogLine = Record<string, unknown> & { time: string; event: string };

/** Fields of bunyan itself, and those that stand at the front of a line. */
const HIDDEN_FIELDS = new Set([
  ...['name', 'hostname', 'pid', 'level', 'v', 'msg'],
  ...['time', 'event', 'entry', 'agent', 'gateway', 'life', 'request'],
]);

/** Parses one line; undefined where it is no log line. */
function parseLine(text: string): LogLine | undefined {
  try {
    const line = JSON.parse(text) as LogLine;
    return typeof line.time === 'string' && typeof line.event === 'string' ? line : undefined;
  } catch {
    return undefined;
  }
}

/** Tells whether a line is about a request or one of its attempts. */
function isAbout(line: LogLine, requestId: string): boolean {
  const request = String(line.request ?? '');
  return request === requestId || request.startsWith(`${requestId}#`);
}

/** Finds the lines of a request in some logs, ordered by time. */
export function findRequestLines(texts: readonly string[], requestId: string): LogLine[] {
  return texts
    .flatMap((text) => text.split('\n'))
    .map(parseLine)
    .filter((line): line is LogLine => line !== undefined && isAbout(line, requestId))
    .sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
}

/** Formats a line: time, process, event, then what was considered and taken. */
export function formatLine(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  const processName = String(line.entry ?? line.agent ?? line.gateway ?? line.name ?? '');
  return [line.time, processName, line.event, ...fields].join('  ');
}
