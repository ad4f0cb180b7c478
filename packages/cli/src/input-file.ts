/** Reads and parses settings, documents and configurations, and detects which kind a file is. */
import * as fs from 'node:fs';
import type * as coreGateway from '@toucanproxy/core/gateway';
import type * as gateway from '@toucanproxy/gateway';
import * as platform from '@toucanproxy/platform';
import * as schema from '@toucanproxy/schema';

export enum FileKind {
  DOCUMENT = 'document',
  ENTRY = 'entry',
  AGENT = 'agent',
  /** Settings of a gateway, in the platform's format. */
  GATEWAY = 'gateway',
  /** Configuration of gateways, as the platform's store holds it. */
  CONFIGURATION = 'configuration',
}

type Values = {
  [FileKind.DOCUMENT]: schema.ServiceDocument;
  [FileKind.ENTRY]: schema.EntrySettings;
  [FileKind.AGENT]: schema.AgentSettings;
  [FileKind.GATEWAY]: gateway.GatewaySettings;
  [FileKind.CONFIGURATION]: coreGateway.Configuration;
};

export type Input =
  | { kind: 'unreadable'; reason: string }
  | { kind: 'faulty'; fileKind: FileKind; faults: schema.Fault[] }
  | { [K in FileKind]: { kind: 'valid'; fileKind: K; value: Values[K] } }[FileKind];

/** Detects the kind of a file by a field that only this kind has. */
function detectKind(text: string): FileKind {
  try {
    const data = JSON.parse(text) as Record<string, unknown>;
    if ('entryId' in data) {
      return FileKind.ENTRY;
    }
    if (platform.isSettings(data)) {
      return FileKind.GATEWAY;
    }
    if (platform.isConfiguration(data)) {
      return FileKind.CONFIGURATION;
    }
    return 'backendServerId' in data ? FileKind.AGENT : FileKind.DOCUMENT;
  } catch {
    return FileKind.DOCUMENT;
  }
}

/** Converts a parse result to an input. */
function toInput<K extends FileKind>(fileKind: K, parsed: schema.ParseResult<Values[K]>): Input {
  return parsed.kind === 'faulty'
    ? { kind: 'faulty', fileKind, faults: parsed.faults }
    : ({ kind: 'valid', fileKind, value: parsed.value } as Input);
}

/** Parses text as a file of the given kind. */
function parseAs(fileKind: FileKind, text: string): Input {
  switch (fileKind) {
    case FileKind.ENTRY:
      return toInput(fileKind, schema.parseEntrySettings(text));
    case FileKind.AGENT:
      return toInput(fileKind, schema.parseAgentSettings(text));
    case FileKind.GATEWAY:
      return toInput(fileKind, platform.parseSettings(text));
    case FileKind.CONFIGURATION:
      return toInput(fileKind, platform.parseConfiguration(text));
    default:
      return toInput(FileKind.DOCUMENT, schema.parseDocument(text));
  }
}

/** Reads one file; its kind is detected if none is given. */
export function readInput(path: string, fileKind?: FileKind): Input {
  try {
    const text = fs.readFileSync(path, 'utf8');
    return parseAs(fileKind ?? detectKind(text), text);
  } catch (error) {
    return { kind: 'unreadable', reason: (error as NodeJS.ErrnoException).code ?? 'unreadable' };
  }
}

/** Formats the result code of a faulty file and its faults, one per line. */
export function formatFaults(path: string, fileKind: FileKind, faults: schema.Fault[]): string {
  const { DOCUMENT_FAULT, SETTINGS_FAULT } = schema.ResultCode;
  const isDocument = fileKind === FileKind.DOCUMENT || fileKind === FileKind.CONFIGURATION;
  const code = isDocument ? DOCUMENT_FAULT : SETTINGS_FAULT;
  const head = `${path}: result ${code} ${schema.ResultCode[code]}, ${faults.length} faults`;
  const lines = faults.map((fault) => `${path}: ${schema.formatFault(fault)}`);
  return `${[head, ...lines].join('\n')}\n`;
}
