/** Reads settings and documents from files and recognises what they are. */
import * as fs from 'node:fs';
import type * as coreGateway from '@toucanproxy/core/gateway';
import type * as gateway from '@toucanproxy/gateway';
import * as platform from '@toucanproxy/platform';
import * as schema from '@toucanproxy/schema';

export enum FileKind {
  DOCUMENT = 'document',
  ENTRY = 'entry',
  AGENT = 'agent',
  /** Settings of a gateway, in the platform's form. */
  GATEWAY = 'gateway',
  /** What the platform's store holds for gateways. */
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
  | { [K in FileKind]: { kind: 'good'; fileKind: K; value: Values[K] } }[FileKind];

/** Recognises a file by a field that only its kind has. */
function pickKind(text: string): FileKind {
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

/** Builds what was read. */
function toInput<K extends FileKind>(fileKind: K, parsed: schema.Parsed<Values[K]>): Input {
  return parsed.kind === 'faulty'
    ? { kind: 'faulty', fileKind, faults: parsed.faults }
    : ({ kind: 'good', fileKind, value: parsed.value } as Input);
}

/** Parses the text of one kind. */
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

/** Reads one file; its kind is recognised where none is given. */
export function readInput(path: string, fileKind?: FileKind): Input {
  try {
    const text = fs.readFileSync(path, 'utf8');
    return parseAs(fileKind ?? pickKind(text), text);
  } catch (error) {
    return { kind: 'unreadable', reason: (error as NodeJS.ErrnoException).code ?? 'unreadable' };
  }
}

/** Formats the faults of a file with the result code, a line each. */
export function formatFaults(path: string, fileKind: FileKind, faults: schema.Fault[]): string {
  const { DOCUMENT_FAULT, SETTINGS_FAULT } = schema.ResultCode;
  const isDeclared = fileKind === FileKind.DOCUMENT || fileKind === FileKind.CONFIGURATION;
  const code = isDeclared ? DOCUMENT_FAULT : SETTINGS_FAULT;
  const head = `${path}: result ${code} ${schema.ResultCode[code]}, ${faults.length} faults`;
  const lines = faults.map((fault) => `${path}: ${schema.formatFault(fault)}`);
  return `${[head, ...lines].join('\n')}\n`;
}
