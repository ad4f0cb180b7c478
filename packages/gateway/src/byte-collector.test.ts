import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as byteCollector from './byte-collector.js';

const { test } = nodeTest;
const PARTS = 1000;

test('bytes are returned in order and once', () => {
  const collector = byteCollector.createByteCollector();
  const texts = Array.from({ length: PARTS }, (_, index) => 'x'.repeat(index % 7) + index);
  texts.forEach((text) => byteCollector.addBytes(collector, Buffer.from(text)));
  assert.equal(byteCollector.takeBytes(collector).toString(), texts.join(''));
  assert.equal(byteCollector.takeBytes(collector).length, 0);
});

test('bytes that were taken stay as they are', () => {
  const collector = byteCollector.createByteCollector();
  byteCollector.addBytes(collector, Buffer.from('ab'));
  byteCollector.addBytes(collector, Buffer.from('c'));
  const taken = byteCollector.takeBytes(collector);
  byteCollector.addBytes(collector, Buffer.from('defg'));
  assert.equal(taken.toString(), 'abc');
});

test('parts of one byte occupy little more than their bytes', () => {
  // Guards against a buffer object for each chunk of a body, which occupies a hundred times as much.
  const collector = byteCollector.createByteCollector();
  const part = Buffer.from('a');
  for (let index = 0; index < PARTS; index += 1) {
    byteCollector.addBytes(collector, part);
  }
  assert.ok(collector.buffer.length <= 2 * PARTS, `${collector.buffer.length}`);
});
