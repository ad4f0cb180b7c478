/** Bundles the gateway into one file under target/, from the sources. Argument: name of the file. */
import * as esbuild from 'esbuild';

/** Modules that the logger takes where they can be loaded, and does without else. */
const OPTIONAL = ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support'];
/** A module that is never there. */
const ABSENT = 'toucanproxy-absent';
const [outputName = 'gateway.mjs'] = process.argv.slice(2);

await esbuild.build({
  entryPoints: ['platform/src/main.ts'],
  outfile: `target/${outputName}`,
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  logLevel: 'warning',
  alias: {
    '@toucanproxy/core/gateway': './packages/core/src/gateway/index.ts',
    '@toucanproxy/core': './packages/core/src/index.ts',
    '@toucanproxy/gateway': './packages/gateway/src/index.ts',
    '@toucanproxy/runtime': './packages/runtime/src/index.ts',
    '@toucanproxy/schema': './packages/schema/src/index.ts',
    undici: './deploy/bundle/undici.cjs',
    'hdr-histogram-js': './deploy/bundle/hdr-histogram.cjs',
    ...Object.fromEntries(OPTIONAL.map((name) => [name, ABSENT])),
  },
  external: [ABSENT],
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
