/** A small stand-in for the platform's store: items, ranges and watches, as PROTOCOL.md tells them. */
import * as http from 'node:http';

const MAX_ITEMS = 500;

/** Lists the items of a page. */
function listPage(items, prefix, after) {
  return [...items.values()]
    .filter(({ key }) => key.startsWith(prefix) && key > after)
    .sort((a, b) => (a.key < b.key ? -1 : 1));
}

/** Starts an empty store on a free port. */
export async function startStore() {
  const items = new Map();
  const events = [];
  let revision = 100;
  const handle = (request, response) => {
    const url = new URL(request.url, 'http://store');
    const send = (status, body) => {
      response.writeHead(status, { 'content-type': 'application/json', 'Store-Era': '1' });
      response.end(JSON.stringify(body));
    };
    const prefix = url.searchParams.get('prefix') ?? '';
    const since = url.searchParams.get('sinceRevision') ?? '';
    if (url.pathname === '/api/kv-range') {
      const found = listPage(items, prefix, since);
      const page = { items: found.slice(0, MAX_ITEMS), truncated: found.length > MAX_ITEMS };
      send(200, { ...page, at: revision });
      return;
    }
    const sendChanges = () =>
      send(200, {
        events: events.filter((one) => one.revision > Number(since) && one.key.startsWith(prefix)),
        at: revision,
      });
    const isNew = revision > Number(since);
    setTimeout(sendChanges, isNew ? 0 : Number(url.searchParams.get('waitMs') ?? 0));
  };
  const server = http.createServer(handle);
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    put: (key, value) => {
      revision += 1;
      const bytes = Buffer.from(JSON.stringify(value)).toString('base64');
      const item = { key, value: bytes, revision, created: revision, lease: 0 };
      items.set(key, item);
      events.push(item);
    },
  };
}
