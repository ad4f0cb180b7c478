/** Runs one stand-in as a process: `main.js KIND JSON-OPTIONS`. Prints a line with its port. */
import * as engine from './engine.js';
import * as plainService from './plain-service.js';
import * as platform from './platform.js';
import * as weightStore from './weight-store.js';

type Options = Partial<
  engine.EngineOptions & plainService.PlainServiceOptions & weightStore.WeightStoreOptions
>;
type Start = (options: Options) => Promise<{ port: number }>;

const STARTERS: Record<string, Start> = {
  engine: engine.startEngine,
  platform: (options) => platform.startPlatform(options.host, options.port),
  'plain-service': plainService.startPlainService,
  'weight-store': weightStore.startWeightStore,
};

const [, , kind, json = '{}'] = process.argv;
const started = await STARTERS[kind](JSON.parse(json) as Options);
process.stdout.write(`${JSON.stringify({ event: 'started', port: started.port })}\n`);
