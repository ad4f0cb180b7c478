/**
 * Brings the numbers of a message into the ranges of its fields.
 *
 * A field has a fixed width, and the encoder throws on a number that it cannot hold. A message
 * between processes carries the state of many requests, so one such number must not keep the rest
 * from arriving.
 */
import * as protobuf from '@bufbuild/protobuf';

type Range = { least: number; most: number; isWhole: boolean };
type Fields = Record<string, unknown>;

const { ScalarType } = protobuf;
const UNSIGNED: Range = { least: 0, most: 2 ** 32 - 1, isWhole: true };
const SIGNED: Range = { least: -(2 ** 31), most: 2 ** 31 - 1, isWhole: true };
const DOUBLE: Range = { least: -Number.MAX_VALUE, most: Number.MAX_VALUE, isWhole: false };

/** Ranges by scalar type; 64-bit integers are not used for amounts. */
export type Ranges = ReadonlyMap<protobuf.ScalarType, Range>;

/** Ranges of the fields of doubles, which may hold infinities and what is not a number. */
export const DOUBLE_RANGES: Ranges = new Map([[ScalarType.DOUBLE, DOUBLE]]);

/** Ranges of all fields that hold numbers. */
export const NUMBER_RANGES: Ranges = new Map([
  ...DOUBLE_RANGES,
  [ScalarType.UINT32, UNSIGNED],
  [ScalarType.FIXED32, UNSIGNED],
  [ScalarType.INT32, SIGNED],
  [ScalarType.SINT32, SIGNED],
  [ScalarType.SFIXED32, SIGNED],
]);

/** Returns the nearest number in a range, 0 for what is not a number. */
function trimNumber(found: number, { least, most, isWhole }: Range): number {
  const within = Math.min(Math.max(found, least), most);
  if (Number.isNaN(within)) {
    return 0;
  }
  return isWhole ? Math.round(within) : within;
}

/** A field that holds numbers of a range, or messages with such fields. */
type NumericField = { field: protobuf.DescField; range: Range | undefined };

type FieldsByMessage = WeakMap<protobuf.DescMessage, NumericField[]>;
const fieldsByRanges = new WeakMap<Ranges, FieldsByMessage>();

/** Lists the fields of a message type that hold numbers, also within other messages. */
function listNumericFields(ranges: Ranges, type: protobuf.DescMessage): NumericField[] {
  const byMessage: FieldsByMessage = fieldsByRanges.get(ranges) ?? new WeakMap();
  fieldsByRanges.set(ranges, byMessage);
  const known = byMessage.get(type);
  if (known !== undefined) {
    return known;
  }
  const found = type.fields
    .map((field) => ({
      field,
      range: field.scalar === undefined ? undefined : ranges.get(field.scalar),
    }))
    .filter(
      ({ field, range }) =>
        range !== undefined ||
        (field.message !== undefined && listNumericFields(ranges, field.message).length > 0),
    );
  byMessage.set(type, found);
  return found;
}

/** Returns the object and the property that hold the value of a field; undefined if it is unset. */
function findHolder(
  { oneof, localName }: protobuf.DescField,
  fields: Fields,
): { owner: Fields; name: string } | undefined {
  if (oneof === undefined) {
    return { owner: fields, name: localName };
  }
  const owner = fields[oneof.localName] as Fields;
  return owner.case === localName ? { owner, name: 'value' } : undefined;
}

/**
 * Brings the numbers of a message into the ranges of their fields, in place.
 *
 * @returns the names of the fields that changed
 */
export function trimNumbers(
  ranges: Ranges,
  type: protobuf.DescMessage,
  message: protobuf.Message,
): string[] {
  const changed: string[] = [];
  listNumericFields(ranges, type).forEach(({ field, range }) => {
    const holder = findHolder(field, message);
    if (holder === undefined) {
      return;
    }
    const { owner, name } = holder;
    const trimValue = (value: unknown): unknown => {
      if (range === undefined) {
        const inner = field.message as protobuf.DescMessage;
        changed.push(...trimNumbers(ranges, inner, value as protobuf.Message));
        return value;
      }
      const trimmed = trimNumber(value as number, range);
      if (trimmed !== value) {
        changed.push(`${type.name}.${field.name}`);
      }
      return trimmed;
    };
    const value = owner[name];
    if (Array.isArray(value)) {
      owner[name] = value.map(trimValue);
    } else if (value !== undefined) {
      owner[name] = trimValue(value);
    }
  });
  return changed;
}
