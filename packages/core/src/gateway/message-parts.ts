/** Splits lists into messages that fit in a datagram. */

/** Maximum length of the items in one message, characters. */
const MAX_MESSAGE_LENGTH = 1100;

/** Splits items into messages that fit in a datagram. */
export function listParts<T>(items: readonly T[], countLength: (item: T) => number): T[][] {
  const parts: T[][] = [];
  let length = Infinity;
  items.forEach((item) => {
    length += countLength(item);
    if (length > MAX_MESSAGE_LENGTH) {
      parts.push([]);
      length = countLength(item);
    }
    parts.at(-1)?.push(item);
  });
  return parts;
}
