/** Finds the service and its path in the URL of a caller's request. */

/** OpenAI-style paths, where the body's `model` names the service. */
const MODEL_PATHS = new Set(['/v1/chat/completions', '/v1/completions']);
const SERVICE_PATTERN = /^\/services\/([^/]+)(\/.*)$/;

export type ApiPath =
  | { kind: 'model'; path: string }
  | { kind: 'service'; service: string; path: string }
  | { kind: 'unknown' };

/** Reads the URL of a request. */
export function parseApiPath(url: string): ApiPath {
  const [pathname] = url.split('?');
  if (MODEL_PATHS.has(pathname)) {
    return { kind: 'model', path: url };
  }
  const match = SERVICE_PATTERN.exec(url);
  if (match === null) {
    return { kind: 'unknown' };
  }
  return { kind: 'service', service: match[1], path: match[2] };
}
