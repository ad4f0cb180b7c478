/** Parses callers' requests into the form that the core handles. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as apiPath from './api-path.js';
import * as callerAuthorization from './caller-authorization.js';
import * as contentDigest from './content-digest.js';
import * as prefixHashes from './prefix-hashes.js';
import * as requestBody from './request-body.js';
import * as requestCost from './request-cost.js';

/** The parts of this entry's state and settings that parsing depends on. */
export type ReaderContext = {
  documents: core.DocumentStore;
  services: readonly string[];
  digestKey: string;
  bodyBudget: requestBody.BodyBudget;
};

type Fault = { kind: 'faulty'; code: schema.ResultCode };
type Read = { kind: 'read'; request: core.ArrivedRequest } | Fault;
type ServicePath = Extract<apiPath.ApiPath, { kind: 'model' | 'service' }>;

/** The parsed head of a request. */
export type RequestHead = {
  kind: 'head';
  target: ServicePath;
  method: string;
  contentType: string;
  tokenSha256: string;
  key: string;
  timeoutMs: number;
  maxBodyBytes: number;
};

const BEARER_PATTERN = /^Bearer (\S+)$/i;
/** Names of services. Other text is neither looked up nor logged. */
const SERVICE_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const KEY_PATTERN = /^[\x21-\x7e]{0,255}$/;
const TIMEOUT_PATTERN = /^[0-9]{1,9}$/;
const SERVICE_METHODS = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);
const { ResultCode } = schema;

/** Returns one header as text; empty if it is absent. */
function getHeader(request: http.IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

/** Builds the fault with which a request is refused. */
function refuse(code: schema.ResultCode): Fault {
  return { kind: 'faulty', code };
}

/** Hashes the bearer token; empty if there is none. */
function hashToken(request: http.IncomingMessage): string {
  const match = BEARER_PATTERN.exec(getHeader(request, 'authorization'));
  return match === null ? '' : crypto.createHash('sha256').update(match[1]).digest('hex');
}

/**
 * Parses the caller's timeout; 0 if there is none, undefined if it is not a
 * positive whole number.
 */
function parseTimeout(text: string): number | undefined {
  if (text === '') {
    return 0;
  }
  const value = TIMEOUT_PATTERN.test(text) ? Number(text) : 0;
  return value > 0 ? value : undefined;
}

/** Checks that the path and the method are supported. */
function parseTarget(request: http.IncomingMessage): ServicePath | Fault {
  const target = apiPath.parseApiPath(request.url ?? '/');
  const method = request.method ?? '';
  switch (target.kind) {
    case 'model':
      return method === 'POST' ? target : refuse(ResultCode.UNKNOWN_PATH);
    case 'service':
      return SERVICE_METHODS.has(method) ? target : refuse(ResultCode.MALFORMED_REQUEST);
    case 'malformed':
      return refuse(ResultCode.MALFORMED_REQUEST);
    default:
      return refuse(ResultCode.UNKNOWN_PATH);
  }
}

/** Reads the head. If the head alone is reason to refuse the request, the body is not read. */
export function readHead(
  request: http.IncomingMessage,
  context: ReaderContext,
): RequestHead | Fault {
  const target = parseTarget(request);
  if (target.kind === 'faulty') {
    return target;
  }
  const tokenSha256 = hashToken(request);
  const service = target.kind === 'service' ? target.service : undefined;
  const { documents, services } = context;
  const authorization = callerAuthorization.checkAuthorization(
    documents,
    services,
    service,
    tokenSha256,
  );
  if (authorization.kind === 'refused') {
    return refuse(authorization.code);
  }
  const timeoutMs = parseTimeout(getHeader(request, 'x-request-timeout-ms'));
  if (timeoutMs === undefined) {
    return refuse(ResultCode.DEADLINE_INVALID);
  }
  const key = getHeader(request, 'idempotency-key');
  if (!KEY_PATTERN.test(key)) {
    return refuse(ResultCode.KEY_INVALID);
  }
  const { maxBodyBytes } = authorization;
  if (requestBody.isDeclaredTooLarge(request, maxBodyBytes)) {
    return refuse(ResultCode.BODY_TOO_LARGE);
  }
  const method = request.method ?? 'GET';
  const contentType = getHeader(request, 'content-type');
  return { kind: 'head', target, method, contentType, tokenSha256, key, timeoutMs, maxBodyBytes };
}

type ModelBody = prefixHashes.PromptBody & { model?: unknown; max_tokens?: unknown };

/** Parses the body of a model request; undefined if it is not a JSON object. */
function parseModelBody(payload: Buffer): ModelBody | undefined {
  try {
    const body = JSON.parse(payload.toString('utf8')) as unknown;
    return typeof body === 'object' && body !== null ? body : undefined;
  } catch {
    return undefined;
  }
}

/** Reads the body and builds the request that is passed to the core. */
export async function readRequest(
  request: http.IncomingMessage,
  head: RequestHead,
  callerId: number,
  context: ReaderContext,
): Promise<Read> {
  const read = await requestBody.readBody(request, head.maxBodyBytes, context.bodyBudget);
  if (read.kind === 'faulty') {
    return read;
  }
  const { payload } = read;
  const { target, method, contentType, tokenSha256, key, timeoutMs } = head;
  const { path } = target;
  const body = target.kind === 'model' ? parseModelBody(payload) : {};
  const service = target.kind === 'model' ? body?.model : target.service;
  if (typeof service !== 'string') {
    return refuse(ResultCode.MALFORMED_REQUEST);
  }
  if (!SERVICE_PATTERN.test(service)) {
    return refuse(ResultCode.UNKNOWN_SERVICE);
  }
  const workspace = callerAuthorization.findWorkspace(context.documents, service, tokenSha256);
  const content = { workspace, method, path, contentType, payload };
  const arrived: core.ArrivedRequest = {
    callerId,
    service,
    method,
    path,
    contentType,
    payload,
    tokenSha256,
    key,
    timeoutMs,
    contentDigest: contentDigest.computeDigest(context.digestKey, content),
    estimatedTokens: requestCost.estimateTokens(payload.length, body?.max_tokens),
    prefixHashes: prefixHashes.hashPromptPrefixes(body),
    maxAnswerTokens: requestCost.parseMaxTokens(body?.max_tokens),
  };
  return { kind: 'read', request: arrived };
}
