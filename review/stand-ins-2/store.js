/** A stand-in for the platform's store: PROTOCOL.md, "The platform's metadata store". */
import * as http from 'node:http';

/** Time of an answer, milliseconds, as the sheets state it. */
const ANSWER_MS = 4;
const PAGE_ITEMS = 500;

/** Sends a JSON answer. */
function sendAnswer(state, response, status, body) {
  const headers = { 'content-type': 'application/json', 'Store-Era': String(state.era) };
  setTimeout(() => {
    response.writeHead(status, headers);
    response.end(JSON.stringify(body));
  }, ANSWER_MS);
}

/** Serves a page of the items under a prefix. */
function serveRange(state, url, response) {
  const prefix = url.searchParams.get('prefix') ?? '';
  const after = url.searchParams.get('sinceRevision') ?? '';
  const found = [...state.items.values()]
    .filter(({ key }) => key.startsWith(prefix) && key > after)
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  const items = found.slice(0, PAGE_ITEMS);
  sendAnswer(state, response, 200, {
    items,
    truncated: found.length > items.length,
    at: state.revision,
  });
}

/** Serves a watch; it waits until there is an event, or its time is over. */
function serveWatch(state, url, response) {
  const prefix = url.searchParams.get('prefix') ?? '';
  const since = Number(url.searchParams.get('sinceRevision'));
  if (since > state.revision) {
    sendAnswer(state, response, 410, { error: 'gone' });
    return;
  }
  const { era } = state;
  const endMs = Date.now() + Math.min(Number(url.searchParams.get('waitMs') ?? 0), 30_000);
  const check = () => {
    const events = state.events.filter(
      ({ key, revision }) => key.startsWith(prefix) && revision > since,
    );
    if (response.destroyed || era !== state.era) {
      response.destroy();
    } else if (events.length > 0 || Date.now() >= endMs) {
      sendAnswer(state, response, 200, { events, at: state.revision });
    } else {
      setTimeout(check, 10);
    }
  };
  check();
}

/** Serves one item. */
function serveKey(state, url, response) {
  const item = state.items.get(url.searchParams.get('key'));
  if (item === undefined) {
    sendAnswer(state, response, 404, { at: state.revision });
  } else {
    sendAnswer(state, response, 200, { ...item, at: state.revision });
  }
}

const CALLS = new Map([
  ['/api/kv-range', serveRange],
  ['/api/kv-watch', serveWatch],
  ['/api/kv-key', serveKey],
]);

/** Writes an item, or deletes it if there is no value; returns the time of the acknowledgement. */
function write(state, key, value) {
  state.revision += 1;
  const { revision } = state;
  if (value === undefined) {
    state.items.delete(key);
    state.events.push({ key, revision, deleted: true });
  } else {
    const created = state.items.get(key)?.created ?? revision;
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    const item = { key, value: text, revision, created, lease: 0 };
    state.items.set(key, item);
    state.events.push(item);
  }
  return Date.now();
}

/** Starts an empty store. */
export async function startStore() {
  const state = { items: new Map(), events: [], revision: 100, era: 1, isAway: false };
  const server = http.createServer((request, response) => {
    const url = new URL(request.url, 'http://store');
    const serve = CALLS.get(url.pathname);
    if (state.isAway) {
      sendAnswer(state, response, 503, { error: 'away' });
    } else if (serve === undefined) {
      sendAnswer(state, response, 404, { error: 'unknown' });
    } else {
      serve(state, url, response);
    }
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    put: (key, value) => write(state, key, value),
    remove: (key) => write(state, key, undefined),
    setAway: (isAway) => {
      state.isAway = isAway;
    },
    backUp: () => ({
      items: new Map(state.items),
      events: [...state.events],
      revision: state.revision,
    }),
    /** Comes back from a copy: what was acknowledged since is gone, and the era rises by one. */
    restore: (copy) => {
      state.items = new Map(copy.items);
      state.events = [...copy.events];
      state.revision = copy.revision;
      state.era += 1;
      server.closeAllConnections();
    },
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
