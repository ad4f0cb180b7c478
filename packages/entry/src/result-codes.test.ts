import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as schema from '@toucanproxy/schema';

const TABLE = new URL('../../../docs/RESULT-CODES.md', import.meta.url);
const RUN_STATES = ['not_run', 'ran', 'may_have_run'];
const NONE = '-';

/** Reads the rows of the table, without its header. */
function readRows(): string[][] {
  const lines = fs.readFileSync(TABLE, 'utf8').split('\n');
  return lines
    .filter((line) => /^\| \d/.test(line))
    .map((line) =>
      line
        .split('|')
        .slice(1, -1)
        .map((cell) => cell.trim()),
    );
}

nodeTest.test('result codes: the table holds the enum, in order', () => {
  const listed = readRows().map(([number, name]) => [Number(number), name]);
  const known = Object.entries(schema.ResultCode)
    .filter(([name]) => Number.isNaN(Number(name)))
    .map(([name, number]) => [number, name]);
  assert.deepEqual(listed, known);
});

nodeTest.test('result codes: status, run state and advice', () => {
  readRows().forEach(([number, name, status, states, advice]) => {
    assert.notEqual(advice, '', name);
    if (status === NONE) {
      assert.equal(states, NONE, name);
      return;
    }
    assert.equal(schema.getHttpStatus(Number(number)), Number(status), name);
    assert.ok(
      states.split(', ').every((state) => RUN_STATES.includes(state)),
      name,
    );
  });
});
