import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as logOutput from './log-output.js';

const MEGABYTE = 1_048_576;

/** Creates an output over a sink that a test fills, with delays that it ends. */
function createScene() {
  const sink = {
    written: [] as string[],
    writableLength: 0,
    write: (text: string) => sink.written.push(text),
  };
  const due: (() => void)[] = [];
  const told: number[] = [];
  const output = logOutput.createLogOutput({
    sink,
    delay: (callback) => due.push(callback),
    reportDropped: (lines) => told.push(lines),
  });
  return { sink, due, told, output };
}

nodeTest.test('lines of one moment leave together', () => {
  const { sink, due, output } = createScene();
  output.write('a\n');
  output.write('b\n');
  assert.deepEqual(sink.written, []);
  due.shift()?.();
  assert.deepEqual(sink.written, ['a\nb\n']);
  output.write('c\n');
  due.shift()?.();
  assert.deepEqual(sink.written, ['a\nb\n', 'c\n']);
});

nodeTest.test('a stalled reader costs lines, no memory', () => {
  // The reader of the log stalls. What is written stays in the process, which
  // grows until it is killed and all its requests are cut. So lines are dropped
  // while too much waits, and their number is told once the reader goes on.
  const { sink, due, told, output } = createScene();
  sink.writableLength = 2 * MEGABYTE;
  output.write('a\n');
  output.write('b\n');
  due.shift()?.();
  assert.deepEqual(sink.written, []);
  assert.deepEqual(told, []);
  sink.writableLength = 0;
  output.write('c\n');
  due.shift()?.();
  assert.deepEqual(sink.written, ['c\n']);
  assert.deepEqual(told, [2]);
});

nodeTest.test('a process that ends hands over what it has gathered', () => {
  const { sink, output } = createScene();
  output.write('last\n');
  output.flush();
  assert.deepEqual(sink.written, ['last\n']);
});
