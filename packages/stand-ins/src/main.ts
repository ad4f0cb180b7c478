/** Runs one stand-in as a process: `main.js engine|platform JSON-OPTIONS`. */
import * as engine from './engine.js';
import * as platform from './platform.js';

type PlatformOptions = { host: string; port: number };

const [, , kind, json = '{}'] = process.argv;
const options = JSON.parse(json) as Partial<engine.EngineOptions & PlatformOptions>;

/** Starts the stand-in that was asked for and prints its port. */
async function start(): Promise<void> {
  const started =
    kind === 'engine'
      ? await engine.startEngine(options)
      : await platform.startPlatform(options.host, options.port);
  process.stdout.write(`${JSON.stringify({ event: 'started', port: started.port })}\n`);
}

await start();
