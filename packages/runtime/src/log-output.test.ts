import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as logOutput from './log-output.js';

const MEGABYTE = 1_048_576;

/** Creates a log output with a sink whose buffered bytes the test sets. */
function createFixture() {
  const sink = {
    written: [] as string[],
    writableLength: 0,
    write: (text: string) => sink.written.push(text),
  };
  const reported: number[] = [];
  const output = logOutput.createLogOutput(sink, (lines) => reported.push(lines));
  return { sink, reported, output };
}

nodeTest.test('a line is written at once', () => {
  const { sink, output } = createFixture();
  output.write('a\n');
  assert.deepEqual(sink.written, ['a\n']);
});

nodeTest.test('lines are dropped while the reader is stalled', () => {
  // While the reader of the log stalls, lines stay in memory. The process would grow until it is
  // killed, which aborts all its requests. Lines are therefore dropped above a limit, and their
  // number is reported once the reader continues.
  const { sink, reported, output } = createFixture();
  sink.writableLength = 2 * MEGABYTE;
  output.write('a\n');
  output.write('b\n');
  assert.deepEqual(sink.written, []);
  assert.deepEqual(reported, []);
  sink.writableLength = 0;
  output.write('c\n');
  output.write('d\n');
  assert.deepEqual(sink.written, ['c\n', 'd\n']);
  assert.deepEqual(reported, [2]);
});
