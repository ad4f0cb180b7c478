/** Reads service documents and settings from JSON and lists their faults. */
import * as protobuf from '@bufbuild/protobuf';
import * as documentPb from './generated/toucanproxy/v1/document_pb.js';
import * as settingsPb from './generated/toucanproxy/v1/settings_pb.js';

/** One fault: where it is, what was found, and what is allowed. */
export type Fault = { path: string; found: string; allowed: string };

export type Parsed<T> = { kind: 'parsed'; value: T } | { kind: 'faulty'; faults: Fault[] };

/** Parses JSON text into a message; unknown fields are faults. */
function parseMessage<S extends protobuf.DescMessage>(
  descriptor: S,
  json: string,
): Parsed<protobuf.MessageShape<S>> {
  try {
    const value = protobuf.fromJson(descriptor, JSON.parse(json), { ignoreUnknownFields: false });
    return { kind: 'parsed', value };
  } catch (error) {
    const found = error instanceof Error ? error.message : String(error);
    return { kind: 'faulty', faults: [{ path: '', found, allowed: descriptor.typeName }] };
  }
}

/** Parses a service document. */
export function parseDocument(json: string): Parsed<documentPb.ServiceDocument> {
  return parseMessage(documentPb.ServiceDocumentSchema, json);
}

/** Parses the settings of an entry. */
export function parseEntrySettings(json: string): Parsed<settingsPb.EntrySettings> {
  return parseMessage(settingsPb.EntrySettingsSchema, json);
}

/** Parses the settings of an agent. */
export function parseAgentSettings(json: string): Parsed<settingsPb.AgentSettings> {
  return parseMessage(settingsPb.AgentSettingsSchema, json);
}
