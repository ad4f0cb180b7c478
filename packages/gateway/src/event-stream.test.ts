import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as eventStream from './event-stream.js';

const { test } = nodeTest;

/** Adds text in pieces of the given length; returns what is forwarded after each piece. */
function pushPieces(stream: eventStream.EventStream, text: string, length: number): string[] {
  const bytes = Buffer.from(text, 'latin1');
  return Array.from({ length: Math.ceil(bytes.length / length) }, (_, index) =>
    eventStream
      .pushChunk(stream, bytes.subarray(index * length, (index + 1) * length))
      .bytes.toString('latin1'),
  );
}

['\n', '\r', '\r\n'].forEach((lineEnd) =>
  test(`events with line end ${JSON.stringify(lineEnd)} in pieces`, () => {
    // Guards against boundaries that are missed when they are split over chunks.
    const text = `: c${lineEnd}id: 1${lineEnd}data: a${lineEnd}${lineEnd}${lineEnd}id:2${lineEnd}data${lineEnd}${lineEnd}`;
    for (let length = 1; length <= text.length; length += 1) {
      const stream = eventStream.createEventStream();
      assert.equal(pushPieces(stream, text, length).join(''), text);
      assert.equal(eventStream.isInsideEvent(stream), false);
      assert.equal(stream.lastEventId, '2');
    }
  }),
);

test('carriage return ends an event at once', () => {
  // Guards against an event that is delayed until the line feed after it has arrived.
  const stream = eventStream.createEventStream();
  const { bytes, events } = eventStream.pushChunk(stream, Buffer.from('id: 1\r\ndata: a\r\n\r'));
  assert.deepEqual([bytes.toString(), events], ['id: 1\r\ndata: a\r\n\r', 1]);
  assert.equal(eventStream.isInsideEvent(stream), false);
  const rest = eventStream.pushChunk(stream, Buffer.from('\n'));
  assert.deepEqual([rest.bytes.toString(), rest.events], ['\n', 0]);
});

test('part of an event is inside it', () => {
  ['d', 'data: a', 'data: a\n', 'data: a\r\n', 'data: a\n: c\n', ': c', '\u00ef'].forEach(
    (part) => {
      const stream = eventStream.createEventStream();
      pushPieces(stream, part, 1);
      assert.equal(eventStream.isInsideEvent(stream), true, JSON.stringify(part));
    },
  );
});

test('comments and blank lines are not inside an event', () => {
  ['', '\n', '\r\n\r\n', ': c\n', '\u00ef\u00bb\u00bf', '\u00ef\u00bb\u00bf: c\r'].forEach(
    (text) => {
      const stream = eventStream.createEventStream();
      const forwarded = pushPieces(stream, text, 1).join('');
      assert.equal(forwarded + eventStream.takePending(stream).toString('latin1'), text);
      assert.equal(eventStream.isInsideEvent(stream), false, JSON.stringify(text));
    },
  );
});

test('id after a byte order mark', () => {
  const stream = eventStream.createEventStream();
  pushPieces(stream, '\u00ef\u00bb\u00bfid: 7\ndata: a\n\n', 2);
  assert.equal(stream.lastEventId, '7');
});

test('restarted stream forgets the incomplete event', () => {
  const stream = eventStream.createEventStream();
  pushPieces(stream, 'id: 1\ndata: a\n\nid: 2\nda', 3);
  eventStream.restart(stream, true);
  assert.equal(eventStream.isInsideEvent(stream), false);
  assert.equal(pushPieces(stream, 'id: 2\ndata: b\n\n', 4).join(''), 'id: 2\ndata: b\n\n');
});

test('id of an incomplete event is not the last one', () => {
  // Guards against resuming after an event of which the caller has only a part.
  const stream = eventStream.createEventStream();
  pushPieces(stream, `id: 1\ndata: a\n\nid: 2\ndata: ${'b'.repeat(1_100_000)}`, 65_536);
  assert.equal(stream.lastEventId, '1');
  assert.equal(eventStream.isResumable(stream), false);
  pushPieces(stream, '\n\n', 1);
  assert.equal(stream.lastEventId, '2');
  assert.equal(eventStream.isResumable(stream), true);
  pushPieces(stream, 'data: c', 9);
  eventStream.restart(stream, true);
  assert.equal(eventStream.isResumable(stream), true);
});

test('position after an event without id is unknown', () => {
  // Guards against resuming after an earlier event, which delivers those that follow it twice.
  const stream = eventStream.createEventStream();
  pushPieces(stream, 'id: 1\ndata: a\n\n: c\n\nretry: 5\n\n', 5);
  assert.equal(stream.lastEventId, '1');
  pushPieces(stream, 'data: b\n\n', 5);
  assert.equal(eventStream.isResumable(stream), false);
  pushPieces(stream, 'id: 3\ndata: c\n\n', 5);
  assert.equal(stream.lastEventId, '3');
  pushPieces(stream, 'id\ndata: d\n\n', 5);
  assert.equal(eventStream.isResumable(stream), false);
  pushPieces(stream, `id: ${'9'.repeat(5000)}\ndata: e\n\n`, 999);
  assert.equal(eventStream.isResumable(stream), false);
});

test('byte order mark of a resumed part is left out', () => {
  // Guards against a mark in the middle of the stream, which hides the first field after it.
  const stream = eventStream.createEventStream();
  pushPieces(stream, 'id: 1\ndata: a\n\n', 99);
  eventStream.restart(stream, true);
  const resumed = pushPieces(stream, '\u00ef\u00bb\u00bfid: 2\ndata: b\n\n', 1).join('');
  assert.equal(resumed, 'id: 2\ndata: b\n\n');
});
