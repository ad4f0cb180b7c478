/**
 * Checks JSON data against the descriptor of a message and reports all unknown fields and wrong
 * types. The protobuf library's own parser stops at the first.
 */
import * as protobuf from '@bufbuild/protobuf';
import * as fault from './fault.js';

type Descriptor = protobuf.DescMessage;
type Field = protobuf.DescField;
type ScalarRule = { allowed: string; isValid: (value: unknown) => boolean };

const UINT32_MAX = 2 ** 32 - 1;

/** Fields whose values are never shown, as a faulty value may be the token itself. */
const SECRET_FIELDS = new Set(['tokenSha256']);

const SCALAR_RULES: Partial<Record<protobuf.ScalarType, ScalarRule>> = {
  [protobuf.ScalarType.STRING]: {
    allowed: 'a string',
    isValid: (value) => typeof value === 'string',
  },
  [protobuf.ScalarType.BOOL]: {
    allowed: 'true or false',
    isValid: (value) => typeof value === 'boolean',
  },
  [protobuf.ScalarType.DOUBLE]: {
    allowed: 'a number',
    isValid: (value) => typeof value === 'number',
  },
  [protobuf.ScalarType.UINT32]: {
    allowed: `a whole number from 0 to ${UINT32_MAX}`,
    isValid: (value) =>
      Number.isInteger(value) && Number(value) >= 0 && Number(value) <= UINT32_MAX,
  },
};

/** Checks a value of a scalar type. */
function checkScalar(field: Field, scalar: protobuf.ScalarType, value: unknown, path: string) {
  const rule = SCALAR_RULES[scalar];
  if (rule === undefined || rule.isValid(value)) {
    return [];
  }
  const found = SECRET_FIELDS.has(field.jsonName)
    ? 'a value not shown'
    : fault.describeFound(value);
  return [{ path, found, allowed: rule.allowed }];
}

/** Checks a value of an enum, which may be given by name or number. */
function checkEnum(descriptor: protobuf.DescEnum, value: unknown, path: string): fault.Fault[] {
  const names = descriptor.values.map((one) => one.name);
  const numbers = descriptor.values.map((one) => one.number);
  const isValid = names.includes(String(value)) || numbers.includes(value as number);
  return fault.expectThat(isValid, path, value, `one of ${names.join(', ')}`);
}

/** Checks a value that is not a list. */
function checkSingle(field: Field, value: unknown, path: string): fault.Fault[] {
  if (field.message !== undefined) {
    return checkStructure(field.message, value, path);
  }
  if (field.enum !== undefined) {
    return checkEnum(field.enum, value, path);
  }
  return field.scalar === undefined ? [] : checkScalar(field, field.scalar, value, path);
}

/** Checks the value of one field. */
function checkField(field: Field, value: unknown, path: string): fault.Fault[] {
  if (field.fieldKind !== 'list') {
    return checkSingle(field, value, path);
  }
  return Array.isArray(value)
    ? value.flatMap((item, index) => checkSingle(field, item, `${path}[${index}]`))
    : fault.expectThat(false, path, value, 'a list');
}

/** Lists all unknown fields and wrong types in JSON data; `path` is where the data are. */
export function checkStructure(descriptor: Descriptor, json: unknown, path = '$'): fault.Fault[] {
  if (typeof json !== 'object' || json === null || Array.isArray(json)) {
    return fault.expectThat(false, path, json, 'an object');
  }
  const names = descriptor.fields.map((field) => field.jsonName);
  return Object.entries(json).flatMap(([name, value]) => {
    const field = descriptor.fields.find((one) => one.jsonName === name);
    return field === undefined
      ? [{ path: `${path}.${name}`, found: fault.UNKNOWN_FIELD, allowed: names.join(', ') }]
      : checkField(field, value, `${path}.${name}`);
  });
}
