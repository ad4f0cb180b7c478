#!/usr/bin/env node
/** The one program: `toucanproxy`. */
import * as app from './app.js';

process.exitCode = await app.runCli(process.argv.slice(2));
process.exit();
