/** Determines the service and the path below it from the URL of a caller's request. */

/** OpenAI-style paths, for which the body's `model` names the service. */
const MODEL_PATHS = new Set(['/v1/chat/completions', '/v1/completions']);
const SERVICE_PATTERN = /^\/services\/([A-Za-z0-9._-]+)(\/.*)$/;
const BASE_URL = 'http://service';

export type ApiPath =
  | { kind: 'model'; path: string }
  | { kind: 'service'; service: string; path: string }
  | { kind: 'malformed' }
  | { kind: 'unknown' };

/**
 * Resolves a path below a service; undefined if it would leave the service.
 *
 * The agent appends the path to the URL of its service. "//10.0.0.9/" would send
 * the request to another host, and "/open/../closed" would match one route and be
 * served by another. A path that is already resolved, on the same host, can do
 * neither.
 */
function resolvePath(path: string): string | undefined {
  if (!URL.canParse(path, BASE_URL)) {
    return undefined;
  }
  const [pathname] = path.split(/[?#]/);
  const url = new URL(path, BASE_URL);
  const isSame = url.origin === BASE_URL && url.pathname === pathname;
  return isSame ? `${url.pathname}${url.search}` : undefined;
}

/** Parses the URL of a request. */
export function parseApiPath(url: string): ApiPath {
  const [pathname] = url.split('?');
  if (MODEL_PATHS.has(pathname)) {
    return { kind: 'model', path: url };
  }
  const match = SERVICE_PATTERN.exec(url);
  if (match === null) {
    return { kind: 'unknown' };
  }
  const path = resolvePath(match[2]);
  return path === undefined ? { kind: 'malformed' } : { kind: 'service', service: match[1], path };
}
