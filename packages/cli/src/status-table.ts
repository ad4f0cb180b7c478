/** Formats a status as text: one line for each single value, a table for each list. */

type Row = Record<string, unknown>;

/** Formats one value. */
function formatValue(value: unknown): string {
  if (typeof value !== 'object' || value === null) {
    return String(value);
  }
  const parts = Array.isArray(value)
    ? value.map(formatValue)
    : Object.entries(value).map(([name, one]) => `${name}=${formatValue(one)}`);
  return parts.length === 0 ? '-' : parts.join(' ');
}

/** Whether a value is a non-empty list of objects. */
function isTable(value: unknown): value is Row[] {
  return Array.isArray(value) && value.length > 0 && typeof value[0] === 'object';
}

/** Formats a list of objects as a table with a header row. */
function formatTable(name: string, rows: Row[]): string[] {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = [columns, ...rows.map((row) => columns.map((key) => formatValue(row[key] ?? '-')))];
  const widths = columns.map((_, index) => Math.max(...cells.map((line) => line[index].length)));
  const lines = cells.map((line) =>
    line.map((cell, index) => cell.padEnd(widths[index])).join('  '),
  );
  return ['', `${name}:`, ...lines.map((line) => `  ${line.trimEnd()}`)];
}

/** Formats the status of one process. */
export function formatStatus(status: Row): string {
  const entries = Object.entries(status);
  const single = entries.filter(([, value]) => !isTable(value));
  const width = Math.max(...single.map(([name]) => name.length));
  const lines = single.map(([name, value]) => `${name.padEnd(width)}  ${formatValue(value)}`);
  const tables = entries.flatMap(([name, value]) =>
    isTable(value) ? formatTable(name, value) : [],
  );
  return [...lines, ...tables].join('\n');
}
