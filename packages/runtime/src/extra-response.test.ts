import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';
import * as extraResponse from './extra-response.js';

const { test } = nodeTest;
const { BODY, RESPONSE, UNCERTAIN } = extraResponse.HeadVerdict;
const OWN_HEAD = 'HTTP/1.1 200 OK\r\nCall-Id: own\r\nContent-Length: 2\r\n\r\n';
const QUOTED_HEAD = 'HTTP/1.1 200 OK\r\nCall-Id: other\r\n\r\n';

/** Limit of the processor time of a scan of 16 KiB, microseconds. */
const MAX_SCAN_US = 2_000_000;

/** Takes a head that states the id `own` for that of another response. */
function judgeHead(_: number, headers: string[]): extraResponse.HeadVerdict {
  const id = headers.find(
    (value, at) => at % 2 === 1 && headers[at - 1].toLowerCase() === 'call-id',
  );
  return id === 'own' ? RESPONSE : BODY;
}

/** Scans a body that arrives in parts; returns its text, and what was found behind it. */
function scanParts(parts: string[]) {
  const scan = extraResponse.createResponseScan(judgeHead);
  let body = '';
  let found = BODY;
  parts.forEach((part) => {
    if (found === BODY) {
      const result = extraResponse.scanChunk(scan, Buffer.from(part, 'latin1'));
      body += result.body.toString('latin1');
      found = result.next;
    }
  });
  if (found === BODY) {
    const rest = extraResponse.completeScan(scan);
    body += rest.body.toString('latin1');
    found = rest.next;
  }
  return { body, found };
}

const CASES = [
  { name: 'head', rest: OWN_HEAD, found: RESPONSE },
  { name: 'head with line ends of LF', rest: OWN_HEAD.replaceAll('\r', ''), found: RESPONSE },
  { name: 'head of HTTP/1.0', rest: OWN_HEAD.replace('1.1', '1.0'), found: RESPONSE },
  { name: 'head without a reason', rest: OWN_HEAD.replace(' OK', ''), found: RESPONSE },
  {
    name: 'head with a folded line',
    rest: OWN_HEAD.replace('own', 'own\r\nA: b\r\n c'),
    found: RESPONSE,
  },
  { name: 'head in other case', rest: OWN_HEAD.replace('Call-Id', 'CALL-ID'), found: RESPONSE },
  { name: 'head that is cut after the id', rest: OWN_HEAD.slice(0, -5), found: RESPONSE },
  { name: 'head that is cut before the id', rest: OWN_HEAD.slice(0, 20), found: UNCERTAIN },
];

CASES.forEach(({ name, rest, found }) =>
  test(`body ends before a ${name}`, () => {
    const expected = { body: '{"a":1}', found };
    assert.deepEqual(scanParts([`{"a":1}${rest}`]), expected);
    assert.deepEqual(scanParts([...`{"a":1}${rest}`]), expected);
  }),
);

const CUT_HEADS = [
  'HTTP/1.1 200 OK\r\nX-Toucanpr',
  'HTTP/1.1 200 OK\r\nCall-Id: other\r\nCont',
  'HTTP/1.1 200 OK\r\n',
  'HTTP/1.1 404 No',
  'HTTP/1.1 4',
  'HTTP/1.',
  'HT',
  'HTTP/1.1 200 OK\r\nA: bHTTP/1.1 200 OK\r\nA',
  'HTTP/1.1 200 OK\r\nAHTTP/1.1 2HTT',
];

// Guards against bytes of a further response at the end of a body whose end the next one proves.
CUT_HEADS.forEach((cut) =>
  test(`end is uncertain before a further head behind ${JSON.stringify(cut)}`, () => {
    const expected = { body: '{"a":1}', found: UNCERTAIN };
    assert.deepEqual(scanParts([`{"a":1}${cut}${OWN_HEAD}`]), expected);
    assert.deepEqual(scanParts([...`{"a":1}${cut}${OWN_HEAD}`]), expected);
  }),
);

test('end is uncertain before two heads that are cut by the end of the connection', () => {
  // Guards against the same where no whole head follows.
  const cut = 'HTTP/1.1 200 OK\r\nX-TouHTTP/1.1 200 O';
  assert.deepEqual(scanParts([`{"a":1}${cut}`]), { body: '{"a":1}', found: UNCERTAIN });
});

const TEXTS = [
  QUOTED_HEAD,
  `${QUOTED_HEAD}ok`,
  'uses HTTP/1.1',
  'HTTP/1.1 200',
  'HTTP/1.1 200 OK, as text\r\nwith no colon',
  'HTTP/2 200 OK\r\n\r\n',
  `HTTP/1.1 200 OK\r\nA: ${'x'.repeat(20_000)}`,
  'GET / HTTP/1.1\r\nCall-Id: own\r\n\r\n',
  'HTT',
  'HTTP/1.1 301 Moved\r\nHTTP/1.1 200 OK\r\nand more',
  `HTTP/1.1 404 No${QUOTED_HEAD}HTTP/1.`,
  'HHHHHHHHHHHH',
];

TEXTS.forEach((text) =>
  test(`body that quotes HTTP is whole: ${JSON.stringify(text.slice(0, 40))}`, () => {
    assert.deepEqual(scanParts([text]), { body: text, found: BODY });
    assert.deepEqual(scanParts([...text.slice(0, 60), text.slice(60)]), {
      body: text,
      found: BODY,
    });
  }),
);

test('what is found does not depend on how a body is split', () => {
  const piece = fc.constantFrom(
    'a',
    '\n',
    '\r\n',
    'H',
    'HTTP/1.',
    'HTTP/1.1 2',
    'HTTP/1.1 200 OK\r\n',
    QUOTED_HEAD,
    'A: b\r\n',
  );
  fc.assert(
    fc.property(fc.array(piece), fc.boolean(), fc.array(fc.nat(400)), (pieces, isTwice, cuts) => {
      const text = pieces.join('') + (isTwice ? OWN_HEAD : '');
      const at = [...new Set([0, ...cuts.filter((cut) => cut < text.length)])].sort(
        (a, b) => a - b,
      );
      const parts = at.map((from, index) => text.slice(from, at[index + 1]));
      assert.deepEqual(scanParts(parts), scanParts([text]));
    }),
  );
});

test('bytes that are held back belong to a body whose length is complete', () => {
  const scan = extraResponse.createResponseScan(judgeHead);
  const result = extraResponse.scanChunk(scan, Buffer.from('a HTTP/1.1 200 OK\r\n'));
  assert.equal(result.body.toString(), 'a ');
  assert.equal(extraResponse.releaseHeld(scan).body.toString(), 'HTTP/1.1 200 OK\r\n');
});

test('bytes after a line that ends with CR alone are not held back', () => {
  // Guards against holding back the events that follow one that quotes a status line, as only a line
  // that ends with LF was read as a whole one.
  const scan = extraResponse.createResponseScan(judgeHead);
  ['data: HTTP/1.1 200 OK\r\r', 'data: b\r\r'].forEach((event) =>
    assert.equal(extraResponse.scanChunk(scan, Buffer.from(event)).body.toString(), event),
  );
});

test('quoted head in single bytes is scanned in little time', () => {
  // Guards against reading all lines again at each chunk, which keeps the process from its other calls.
  const scan = extraResponse.createResponseScan(judgeHead);
  const bytes = Buffer.from(`HTTP/1.1 200 OK\n${'A: b\n'.repeat(3200)}`);
  const before = process.cpuUsage();
  bytes.forEach((_, at) => extraResponse.scanChunk(scan, bytes.subarray(at, at + 1)));
  const { user } = process.cpuUsage(before);
  assert.ok(user < MAX_SCAN_US, `${user} us`);
});

test('head that is cut short before other text leaves the end uncertain', () => {
  // Guards against a second response that ends within its head, inside the body of another one.
  const cut = OWN_HEAD.slice(0, OWN_HEAD.indexOf('Content-Length') + 4);
  const parts = ['id: 1\n\n', cut, 'id: 2\n: v1\n\n'];
  assert.deepEqual(scanParts(parts), { body: 'id: 1\n\n', found: UNCERTAIN });
  const quoted = ['id: 1\n\n', cut.replace('own', 'other'), 'id: 2\n: v1\n\n'];
  assert.deepEqual(scanParts(quoted), { body: quoted.join(''), found: BODY });
});
