/** Parses service documents and settings from JSON and lists all their faults. */
import * as protobuf from '@bufbuild/protobuf';
import * as checkDocument from './check-document.js';
import * as checkSettings from './check-settings.js';
import * as checkStructure from './check-structure.js';
import * as fault from './fault.js';
import * as documentPb from './generated/toucanproxy/v1/document_pb.js';
import * as settingsPb from './generated/toucanproxy/v1/settings_pb.js';

/** Builds the result for text that could not be parsed at all. */
function buildUnreadable(
  error: unknown,
  allowed: string,
): { kind: 'faulty'; faults: fault.Fault[] } {
  const found = error instanceof Error ? error.name : 'unreadable text';
  return { kind: 'faulty', faults: [{ path: '$', found, allowed }] };
}

/** Whether a value can be converted to its type: unknown fields do not prevent that. */
function isReadable(faults: fault.Fault[]): boolean {
  return faults.every((one) => one.found === fault.UNKNOWN_FIELD);
}

/** Lists the top-level fields whose values have the wrong type. */
function listUnreadable(descriptor: protobuf.DescMessage, data: object): Set<string> {
  const unreadable = Object.entries(data).filter(
    ([name, value]) => !isReadable(checkStructure.checkStructure(descriptor, { [name]: value })),
  );
  return new Set(unreadable.map(([name]) => name));
}

/**
 * Converts JSON data to a message and lists all its faults.
 *
 * Rules that read a field of the wrong type are skipped, because their faults would only be a
 * consequence of that one.
 */
function parseData<S extends protobuf.DescMessage>(
  descriptor: S,
  data: protobuf.JsonValue,
  rules: fault.Rule<protobuf.MessageShape<S>>[],
): fault.ParseResult<protobuf.MessageShape<S>> {
  const structural = checkStructure.checkStructure(descriptor, data);
  if (typeof data !== 'object' || data === null || Array.isArray(data)) {
    return { kind: 'faulty', faults: structural };
  }
  const unreadable = listUnreadable(descriptor, data);
  const readable = Object.entries(data).filter(([name]) => !unreadable.has(name));
  const value = protobuf.fromJson(descriptor, Object.fromEntries(readable), {
    ignoreUnknownFields: true,
  });
  const checked = rules.filter((rule) => !rule.reads.some((name) => unreadable.has(name)));
  const faults = [...structural, ...checked.flatMap((rule) => rule.check(value))];
  return faults.length > 0 ? { kind: 'faulty', faults } : { kind: 'parsed', value };
}

/** Parses JSON text into a message. */
function parseMessage<S extends protobuf.DescMessage>(
  descriptor: S,
  json: string,
  rules: fault.Rule<protobuf.MessageShape<S>>[],
): fault.ParseResult<protobuf.MessageShape<S>> {
  let data: protobuf.JsonValue;
  try {
    data = JSON.parse(json) as protobuf.JsonValue;
  } catch (error) {
    return buildUnreadable(error, 'JSON');
  }
  try {
    return parseData(descriptor, data, rules);
  } catch (error) {
    return buildUnreadable(error, descriptor.typeName);
  }
}

/** Parses a service document. */
export function parseDocument(json: string): fault.ParseResult<documentPb.ServiceDocument> {
  return parseMessage(documentPb.ServiceDocumentSchema, json, checkDocument.DOCUMENT_RULES);
}

/** Parses the settings of an entry. */
export function parseEntrySettings(json: string): fault.ParseResult<settingsPb.EntrySettings> {
  return parseMessage(settingsPb.EntrySettingsSchema, json, checkSettings.ENTRY_RULES);
}

/** Parses the settings of an agent. */
export function parseAgentSettings(json: string): fault.ParseResult<settingsPb.AgentSettings> {
  return parseMessage(settingsPb.AgentSettingsSchema, json, checkSettings.AGENT_RULES);
}
