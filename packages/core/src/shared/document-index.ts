/**
 * Indexes the parts of a document that are looked up for each request. The index is built once per
 * document, so the cost of a request does not grow with the document, even with 15,000 credentials.
 */
import * as schema from '@toucanproxy/schema';
import * as documentTiming from './document-timing.js';

export type DocumentIndex = {
  version: number;
  credentialByToken: Map<string, schema.Credential>;
  workspaceByName: Map<string, schema.Workspace>;
  tierRankByName: Map<string, number>;
  /** Sorted by path prefix, the longest first. */
  routes: schema.Route[];
  timing: documentTiming.Timing;
  limits: documentTiming.Limits;
};

const indexes = new WeakMap<schema.ServiceDocument, DocumentIndex>();

/** Returns the index of a document, built on first use; active documents never change. */
export function getDocumentIndex(document: schema.ServiceDocument): DocumentIndex {
  const index = indexes.get(document) ?? buildDocumentIndex(document);
  indexes.set(document, index);
  return index;
}

/** Builds the index of a document. */
function buildDocumentIndex(document: schema.ServiceDocument): DocumentIndex {
  const routes = [...document.routes];
  routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  return {
    version: document.version,
    credentialByToken: new Map(document.credentials.map((one) => [one.tokenSha256, one])),
    workspaceByName: new Map(document.workspaces.map((one) => [one.name, one])),
    tierRankByName: new Map(document.tiers.map((name, rank) => [name, rank])),
    routes,
    timing: documentTiming.getTiming(document),
    limits: documentTiming.getLimits(document),
  };
}

/** Finds the route with the longest prefix that matches a path. */
export function findRoute(index: DocumentIndex, path: string): schema.Route | undefined {
  return index.routes.find((route) => path.startsWith(route.pathPrefix));
}
