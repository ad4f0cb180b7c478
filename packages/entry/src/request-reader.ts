/** Reads callers' requests into the form the core decides on. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as core from '@toucanproxy/core';
import * as schema from '@toucanproxy/schema';
import * as apiPath from './api-path.js';
import * as requestCost from './request-cost.js';

type Read =
  { kind: 'read'; request: core.ArrivedRequest } | { kind: 'faulty'; code: schema.ResultCode };

/** Bound on any body, whatever the service allows, bytes. */
const HARD_BODY_LIMIT = 64 * 1024 * 1024;
const BEARER_PATTERN = /^Bearer (\S+)$/;

/** Gets one header as text. */
function getHeader(request: http.IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

/** Reads a body; undefined where it is larger than any service allows. */
async function readBody(request: http.IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > HARD_BODY_LIMIT) {
      return undefined;
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Hashes the bearer token; empty where there is none. */
function hashToken(request: http.IncomingMessage): string {
  const match = BEARER_PATTERN.exec(getHeader(request, 'authorization'));
  return match === null ? '' : crypto.createHash('sha256').update(match[1]).digest('hex');
}

type ModelBody = { model?: unknown; max_tokens?: unknown };

/** Parses a model request's body; undefined where it is not a JSON object. */
function parseModelBody(payload: Buffer): ModelBody | undefined {
  try {
    const body = JSON.parse(payload.toString('utf8')) as unknown;
    return typeof body === 'object' && body !== null ? body : undefined;
  } catch {
    return undefined;
  }
}

/** Reads the caller's timeout; undefined where it is not a positive number. */
function parseTimeout(text: string): number | undefined {
  if (text === '') {
    return 0;
  }
  const value = Number(text);
  return Number.isFinite(value) && value > 0 ? value : undefined;
}

/** Reads one request whole. */
export async function readRequest(
  request: http.IncomingMessage,
  callerId: number,
  digestKey: string,
): Promise<Read> {
  const target = apiPath.parseApiPath(request.url ?? '/');
  if (target.kind === 'unknown') {
    return { kind: 'faulty', code: schema.ResultCode.UNKNOWN_PATH };
  }
  const payload = await readBody(request);
  if (payload === undefined) {
    return { kind: 'faulty', code: schema.ResultCode.BODY_TOO_LARGE };
  }
  const body = target.kind === 'model' ? parseModelBody(payload) : {};
  const service = target.kind === 'model' ? body?.model : target.service;
  if (typeof service !== 'string') {
    return { kind: 'faulty', code: schema.ResultCode.MALFORMED_REQUEST };
  }
  const timeoutMs = parseTimeout(getHeader(request, 'x-request-timeout-ms'));
  if (timeoutMs === undefined) {
    return { kind: 'faulty', code: schema.ResultCode.DEADLINE_INVALID };
  }
  const tokenSha256 = hashToken(request);
  const digest = crypto.createHmac('sha256', digestKey).update(tokenSha256).update(payload);
  const arrived: core.ArrivedRequest = {
    callerId,
    service,
    method: request.method ?? 'GET',
    path: target.path,
    contentType: getHeader(request, 'content-type'),
    payload,
    tokenSha256,
    key: getHeader(request, 'idempotency-key'),
    timeoutMs,
    contentDigest: digest.digest('hex'),
    estimatedTokens: requestCost.estimateTokens(payload.length, body?.max_tokens),
    prefixHashes: [],
  };
  return { kind: 'read', request: arrived };
}
