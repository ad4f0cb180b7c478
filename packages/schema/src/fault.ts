/** Faults that validation finds in settings and documents. */

/** One fault: where it is, what was found, and what is allowed. */
export type Fault = {
  /** Path in the JSON text, such as `$.tiers[0]`. */
  path: string;
  /** Description of the value found there. */
  found: string;
  /** Description of the values that are allowed there. */
  allowed: string;
};

export type ParseResult<T> = { kind: 'parsed'; value: T } | { kind: 'faulty'; faults: Fault[] };

/** Lists all faults of a message that this check looks for. */
export type Check<T> = (message: T) => Fault[];

/** A check, with the top-level fields that it reads. */
export type Rule<T> = { reads: (keyof T & string)[]; check: Check<T> };

/** The `found` text of a fault about a field that the schema does not have. */
export const UNKNOWN_FIELD = 'an unknown field';

const MAX_SHOWN_CHARACTERS = 60;

/** Formats a value as JSON, truncated to `MAX_SHOWN_CHARACTERS`. */
export function describeFound(value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing';
  return text.length > MAX_SHOWN_CHARACTERS ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}...` : text;
}

/** Lists one fault where a value is not valid, and none where it is. */
export function expectThat(
  isValid: boolean,
  path: string,
  value: unknown,
  allowed: string,
): Fault[] {
  return isValid ? [] : [{ path, found: describeFound(value), allowed }];
}

/** Lists a fault for each value that has occurred before in the list. */
export function listRepeated(
  values: readonly string[],
  toPath: (index: number) => string,
  describe: (value: string) => string = describeFound,
): Fault[] {
  return values.flatMap((value, index) => {
    const first = values.indexOf(value);
    const allowed = `a value that differs from ${toPath(first)}`;
    return first === index ? [] : [{ path: toPath(index), found: describe(value), allowed }];
  });
}

/** Formats a fault as one line of text. */
export function formatFault(fault: Fault): string {
  return `${fault.path}: found ${fault.found}; allowed: ${fault.allowed}`;
}
