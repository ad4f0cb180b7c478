import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as nodeTest from 'node:test';
import * as url from 'node:url';
import * as undici from 'undici';

const START_EXAMPLE = url
  .fileURLToPath(import.meta.resolve('@toucanproxy/stand-ins'))
  .replace(/index\.js$/, 'start-example.js');

/** Starts the example and waits until it is ready. */
async function startExample(...args: string[]) {
  const child = childProcess.spawn(process.execPath, [START_EXAMPLE, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let text = '';
  await new Promise<void>((resolve, reject) => {
    child.once('exit', (code) => reject(new Error(`ended with ${code}`)));
    child.stdout.on('data', (data) => {
      text += String(data);
      if (text.includes('Ready.')) {
        resolve();
      }
    });
  });
  return { child, text };
}

/** Sends the request of one printed curl command. */
async function sendPrinted(line: string) {
  const headers = [...line.matchAll(/-H '([^:]+): ([^']+)'/g)].map(([, name, value]) => [
    name,
    value,
  ]);
  const body = / -d '([^']+)'/.exec(line)?.[1];
  const target = / (http:\S+)$/.exec(line)?.[1] ?? '';
  const response = await undici.request(target, {
    method: 'POST',
    headers: Object.fromEntries(headers) as Record<string, string>,
    body,
  });
  return { status: response.statusCode, text: await response.body.text() };
}

['quebrada', 'cooperative'].forEach((deployment) => {
  nodeTest.test(`example ${deployment}: the printed commands work`, async () => {
    const { child, text } = await startExample('--deployment', deployment, '--runners', '1');
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    try {
      const calls = text.split('\n').filter((line) => line.startsWith('curl '));
      assert.equal(calls.length, 3);
      const answers = await Promise.all(calls.map(sendPrinted));
      answers.forEach((answer) => assert.equal(answer.status, 200, answer.text));
      assert.match(answers[1].text, /data: \[DONE\]\n\n$/);
    } finally {
      child.kill('SIGINT');
    }
    assert.equal(await ended, 0);
  });
});

nodeTest.test('example: a key without a timestamp works on a new system', async (context) => {
  // A new user chooses an idempotency key that carries no timestamp. No request has
  // run yet under any key. The first call is served, and the same call sent again
  // gets the same response.
  const { child, text } = await startExample('--deployment', 'cooperative', '--runners', '1');
  context.after(() => child.kill('SIGINT'));
  const tag = text.split('\n').find((line) => line.includes('idempotency-key')) ?? '';
  const plain = tag.replace(/idempotency-key: [^']+/, 'idempotency-key: my-own-key');
  const first = await sendPrinted(plain);
  assert.equal(first.status, 200, first.text);
  assert.deepEqual(await sendPrinted(plain), first);
});
