#!/usr/bin/env node
/** The one program: `toucanproxy`. */
import * as app from './app.js';

process.exitCode = await app.buildCli().run(process.argv.slice(2));
process.exit();
