/** Reads service documents and settings from JSON and lists all their faults. */
import * as protobuf from '@bufbuild/protobuf';
import * as checkDocument from './check-document.js';
import * as checkSettings from './check-settings.js';
import * as checkStructure from './check-structure.js';
import * as fault from './fault.js';
import * as documentPb from './generated/toucanproxy/v1/document_pb.js';
import * as settingsPb from './generated/toucanproxy/v1/settings_pb.js';

/** Builds the result for text that could not be read at all. */
function buildUnreadable(
  error: unknown,
  allowed: string,
): { kind: 'faulty'; faults: fault.Fault[] } {
  const found = error instanceof Error ? error.name : 'unreadable text';
  return { kind: 'faulty', faults: [{ path: '$', found, allowed }] };
}

/** Parses JSON text into a message: first its structure, then what it holds. */
function parseMessage<S extends protobuf.DescMessage>(
  descriptor: S,
  json: string,
  check: fault.Check<protobuf.MessageShape<S>>,
): fault.Parsed<protobuf.MessageShape<S>> {
  let data: protobuf.JsonValue;
  try {
    data = JSON.parse(json) as protobuf.JsonValue;
  } catch (error) {
    return buildUnreadable(error, 'JSON');
  }
  const structural = checkStructure.checkStructure(descriptor, data);
  if (structural.length > 0) {
    return { kind: 'faulty', faults: structural };
  }
  try {
    const value = protobuf.fromJson(descriptor, data, { ignoreUnknownFields: false });
    const faults = check(value);
    return faults.length > 0 ? { kind: 'faulty', faults } : { kind: 'parsed', value };
  } catch (error) {
    return buildUnreadable(error, descriptor.typeName);
  }
}

/** Parses a service document. */
export function parseDocument(json: string): fault.Parsed<documentPb.ServiceDocument> {
  return parseMessage(documentPb.ServiceDocumentSchema, json, checkDocument.checkDocument);
}

/** Parses the settings of an entry. */
export function parseEntrySettings(json: string): fault.Parsed<settingsPb.EntrySettings> {
  return parseMessage(settingsPb.EntrySettingsSchema, json, checkSettings.checkEntrySettings);
}

/** Parses the settings of an agent. */
export function parseAgentSettings(json: string): fault.Parsed<settingsPb.AgentSettings> {
  return parseMessage(settingsPb.AgentSettingsSchema, json, checkSettings.checkAgentSettings);
}
