/** Formats settings and documents with all defaults filled in. */
import * as schema from '@toucanproxy/schema';
import * as inputFile from './input-file.js';

const INDENT = 2;
const WITH_DEFAULTS = { alwaysEmitImplicit: true };

/** Fills in the defaults of a document. */
function applyDocumentDefaults(document: schema.ServiceDocument): schema.ServiceDocument {
  return schema.create(schema.ServiceDocumentSchema, {
    ...document,
    timing: schema.create(schema.TimingSchema, schema.getTiming(document)),
    limits: schema.create(schema.LimitsSchema, schema.getLimits(document)),
    logLevel: document.logLevel || schema.LogLevel.INFO,
    routes: document.routes.map((route) => ({
      ...route,
      repeat: route.repeat || schema.Repeat.ONCE,
    })),
    workspaces: document.workspaces.map((workspace) => ({
      ...workspace,
      weight: workspace.weight || 1,
      maxRequests: workspace.maxRequests || schema.getLimits(document).maxRequestsPerWorkspace,
    })),
    backendServers: document.backendServers.map((server) => ({
      ...server,
      state: server.state || schema.BackendServerState.ACTIVE,
    })),
  });
}

/** Builds JSON data with the effective values of a file. */
function buildEffective(input: Extract<inputFile.Input, { kind: 'valid' }>): unknown {
  switch (input.fileKind) {
    case inputFile.FileKind.ENTRY: {
      const settings = schema.applyEntryDefaults(input.value);
      return schema.toJson(schema.EntrySettingsSchema, settings, WITH_DEFAULTS);
    }
    case inputFile.FileKind.AGENT: {
      const settings = schema.applyAgentDefaults(input.value);
      return schema.toJson(schema.AgentSettingsSchema, settings, WITH_DEFAULTS);
    }
    case inputFile.FileKind.GATEWAY:
    case inputFile.FileKind.CONFIGURATION:
      return input.value;
    default: {
      const document = applyDocumentDefaults(input.value);
      return schema.toJson(schema.ServiceDocumentSchema, document, WITH_DEFAULTS);
    }
  }
}

/** Formats a valid file as JSON with all defaults filled in. */
export function formatEffective(input: Extract<inputFile.Input, { kind: 'valid' }>): string {
  return JSON.stringify(buildEffective(input), undefined, INDENT);
}
