import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as logOutput from './log-output.js';

const MEGABYTE = 1_048_576;

/** Creates an output over a sink that a test fills. */
function createScene() {
  const sink = {
    written: [] as string[],
    writableLength: 0,
    write: (text: string) => sink.written.push(text),
  };
  const told: number[] = [];
  const output = logOutput.createLogOutput(sink, (lines) => told.push(lines));
  return { sink, told, output };
}

nodeTest.test('a line leaves at once', () => {
  const { sink, output } = createScene();
  output.write('a\n');
  assert.deepEqual(sink.written, ['a\n']);
});

nodeTest.test('a stalled reader costs lines, no memory', () => {
  // The reader of the log stalls. What is written stays in the process, which
  // grows until it is killed and all its requests are cut. So lines are dropped
  // while too much waits, and their number is told once the reader goes on.
  const { sink, told, output } = createScene();
  sink.writableLength = 2 * MEGABYTE;
  output.write('a\n');
  output.write('b\n');
  assert.deepEqual(sink.written, []);
  assert.deepEqual(told, []);
  sink.writableLength = 0;
  output.write('c\n');
  output.write('d\n');
  assert.deepEqual(sink.written, ['c\n', 'd\n']);
  assert.deepEqual(told, [2]);
});
