/** Faults of settings and documents. */

/** One fault: where it is, what was found, and what is allowed. */
export type Fault = {
  /** Place in the JSON text, such as `$.tiers[0]`. */
  path: string;
  found: string;
  allowed: string;
};

export type ParseResult<T> = { kind: 'parsed'; value: T } | { kind: 'faulty'; faults: Fault[] };

/** A check of a message; all faults at once. */
export type Check<T> = (message: T) => Fault[];

/** A check with the fields that it looks at. */
export type Rule<T> = { reads: (keyof T & string)[]; check: Check<T> };

/** What is found in place of a field that the schema does not know. */
export const UNKNOWN_FIELD = 'an unknown field';

const MAX_SHOWN_CHARACTERS = 60;

/** Describes a value that was found, shortened. */
export function describeFound(value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing';
  return text.length > MAX_SHOWN_CHARACTERS ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}...` : text;
}

/** Builds a list of one fault where a value is not as it should be. */
export function expectThat(
  isRight: boolean,
  path: string,
  value: unknown,
  allowed: string,
): Fault[] {
  return isRight ? [] : [{ path, found: describeFound(value), allowed }];
}

/** Lists a fault for each value that occurs a second time. */
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

/** Formats a fault as one line. */
export function formatFault(fault: Fault): string {
  return `${fault.path}: found ${fault.found}; allowed: ${fault.allowed}`;
}
