/**
 * Stand-in for the platform's store: holds items in memory and serves `kv-range` and `kv-watch`.
 * It acknowledges a write by returning from `put` or `remove`.
 */
import * as http from 'node:http';

const PAGE_ITEMS = 500;
const STATUS_OK = 200;
const STATUS_GONE = 410;
const STATUS_BUSY = 503;

/** Sends a JSON response. */
function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Serves one page of items. */
function serveRange(state, url, response) {
  const prefix = url.searchParams.get('prefix') ?? '';
  const after = url.searchParams.get('sinceRevision') ?? '';
  const found = [...state.items.values()]
    .filter(({ key }) => key.startsWith(prefix) && key > after)
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  sendJson(response, STATUS_OK, {
    items: found.slice(0, PAGE_ITEMS),
    truncated: found.length > PAGE_ITEMS,
    at: state.revision,
  });
}

/** Serves the changes after a revision as soon as there are any, or when the wait is over. */
function serveWatch(state, url, response) {
  const prefix = url.searchParams.get('prefix') ?? '';
  const since = Number(url.searchParams.get('sinceRevision'));
  if (since > state.revision) {
    sendJson(response, STATUS_GONE, {});
    return;
  }
  const listEvents = () =>
    state.events.filter(({ key, revision }) => key.startsWith(prefix) && revision > since);
  const endMs = Date.now() + Number(url.searchParams.get('waitMs') ?? 0);
  const poll = () => {
    const events = listEvents();
    if (events.length > 0 || Date.now() >= endMs) {
      sendJson(response, STATUS_OK, { events, at: state.revision });
    } else {
      setTimeout(poll, 10);
    }
  };
  poll();
}

/** Starts an empty store on a free port of the loopback address. */
export async function startStore() {
  const state = { items: new Map(), events: [], revision: 100, isDown: false };
  const server = http.createServer((request, response) => {
    const url = new URL(request.url, 'http://store');
    if (state.isDown) {
      sendJson(response, STATUS_BUSY, {});
    } else if (url.pathname === '/api/kv-range') {
      serveRange(state, url, response);
    } else {
      serveWatch(state, url, response);
    }
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    /** Writes a value, which is encoded as JSON. */
    put: (key, value) => {
      state.revision += 1;
      const text = Buffer.from(JSON.stringify(value)).toString('base64');
      const item = {
        key,
        value: text,
        revision: state.revision,
        created: state.revision,
        lease: 0,
      };
      state.items.set(key, item);
      state.events.push(item);
    },
    remove: (key) => {
      if (state.items.delete(key)) {
        state.revision += 1;
        state.events.push({ key, revision: state.revision, deleted: true });
      }
    },
    setDown: (isDown) => {
      state.isDown = isDown;
    },
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
