#!/usr/bin/env node
/** Entry point of the `toucanproxy` program. */
import * as app from './app.js';

process.exitCode = await app.runCli(process.argv.slice(2));
process.exit();
